#include "protocol/user_codec.h"

#include <string.h>

static const char *const phase_names[] = {
    [RP_JOB_QUEUED] = "pending",
    [RP_JOB_RUNNING] = "running",
    [RP_JOB_DONE] = "done",
    [RP_JOB_CANCELLED] = "aborted",
};

bool rp_user_codec_parse_submission_id(const char *body, size_t len, char id[RP_ID_MAX]) {
    json_t *value = rp_codec_parse_object(body, len);
    const char *text = json_string_value(json_object_get(value, "ref"));
    bool is_ok = rp_job_codec_is_id(text) && rp_codec_copy_text(id, RP_ID_MAX, text);
    json_decref(value);
    return is_ok;
}

bool rp_user_codec_parse_submission(const char *body, size_t len, struct rp_job_spec *out,
                                    struct rp_codec_error *error) {
    json_t *value = rp_codec_parse_object(body, len);
    if (!value) {
        memset(out, 0, sizeof *out);
        *error = (struct rp_codec_error){.reason = RP_CODEC_NOT_JSON};
        return false;
    }
    bool is_ok = rp_job_codec_read_spec(value, out, error);
    json_decref(value);
    return is_ok;
}

char *rp_user_codec_write_job_status(const struct rp_job_status *status) {
    const char *phase = phase_names[status->phase];
    if (status->phase == RP_JOB_DONE || status->phase == RP_JOB_CANCELLED)
        return rp_codec_write(json_pack("{s:s,s:s}", "ref", status->id, "tension", phase));
    return rp_codec_write(json_pack("{s:s,s:s,s:i,s:i}", "ref", status->id, "tension", phase,
                                    "done", (int)status->done, "running", (int)status->running));
}
