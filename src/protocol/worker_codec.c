#include "protocol/worker_codec.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "model/job_spec.h"
#include "protocol/json_text.h"

/* Bytes of a task's name, "JOB/TASK", with its NUL. */
#define TASK_NAME_BYTES (RP_ID_MAX + 16)

static const char *const task_state_names[] = {
    [RP_TASK_FETCHING] = "fetching", [RP_TASK_WAITING] = "waiting", [RP_TASK_RUNNING] = "running",
    [RP_TASK_SAVING] = "flushing",   [RP_TASK_EXITED] = "exited",
};
static const struct rp_codec_enum_names task_states = RP_CODEC_ENUM_NAMES(task_state_names);

static const char *const exit_reason_names[] = {
    [RP_EXIT_NONE] = "",
    [RP_EXIT_DONE] = "done",
    [RP_EXIT_STOPPED] = "halted",
    [RP_EXIT_GANG_MEMBER_LOST] = "peers",
    [RP_EXIT_GANG_WAIT_TIMEOUT] = "alone",
    [RP_EXIT_ERROR] = "error",
    [RP_EXIT_NO_CAPACITY] = "no_room",
    [RP_EXIT_ALREADY_PRESENT] = "in_use",
    [RP_EXIT_UNKNOWN_TASK] = "no_such",
};
static const struct rp_codec_enum_names exit_reasons = RP_CODEC_ENUM_NAMES(exit_reason_names);

static const char *const command_names[] = {
    [RP_COMMAND_START] = "run",
    [RP_COMMAND_STOP] = "halt",
    [RP_COMMAND_FORGET] = "forget",
};

/* Splits a task's name such as "j-000412/3" into the job's id and the task's index. */
static bool read_task_name(const char *text, char job[RP_ID_MAX], uint32_t *task) {
    const char *slash = text ? strrchr(text, '/') : NULL;
    if (!slash || (size_t)(slash - text) >= RP_ID_MAX || !isdigit((unsigned char)slash[1]))
        return false;
    char *end;
    unsigned long number = strtoul(slash + 1, &end, 10);
    if (*end || number >= RP_TASKS_MAX)
        return false;
    memcpy(job, text, (size_t)(slash - text));
    job[slash - text] = '\0';
    *task = (uint32_t)number;
    return true;
}

/* Returns RP_EXIT_OTHER for a reason that is missing or unknown to this version. */
static enum rp_exit_reason read_exit_reason(const json_t *object) {
    int reason = rp_codec_find_enum_value(object, "slack_reason", exit_reasons);
    return reason > RP_EXIT_NONE ? (enum rp_exit_reason)reason : RP_EXIT_OTHER;
}

static bool read_task_status(const json_t *object, struct rp_task_status *out) {
    const char *name = json_string_value(json_object_get(object, "lift"));
    int state = rp_codec_find_enum_value(object, "tension", task_states);
    if (state == RP_CODEC_NO_ENUM_VALUE || !read_task_name(name, out->job, &out->task) ||
        !rp_codec_read_count(object, "pull", &out->attempt))
        return false;
    out->state = (enum rp_task_state)state;
    out->saved = json_is_true(json_object_get(object, "stored"));
    out->exit_reason = out->state == RP_TASK_EXITED ? read_exit_reason(object) : RP_EXIT_NONE;
    return true;
}

static bool read_machine(const json_t *value, struct rp_heartbeat *out) {
    return rp_codec_copy_string(value, "sheave", out->machine, RP_TEXT_MAX) &&
           rp_codec_copy_string(value, "address", out->addr, RP_TEXT_MAX) &&
           rp_codec_copy_string(value, "frame", out->type, RP_TEXT_MAX) &&
           rp_codec_copy_string(value, "yard", out->zone, RP_TEXT_MAX) && *out->machine;
}

static bool read_sequence_numbers(const json_t *value, struct rp_heartbeat *out) {
    return rp_codec_read_count(value, "stint", &out->incarnation) &&
           rp_codec_read_count(value, "tick", &out->seq) &&
           rp_codec_read_count(value, "warrant", &out->fencing_token);
}

static bool read_heartbeat(const json_t *value, struct rp_heartbeat *out) {
    const json_t *tasks = json_object_get(value, "lifts");
    const json_t *notice = json_object_get(value, "recall_s");
    if (!read_machine(value, out) || !read_sequence_numbers(value, out) || !json_is_array(tasks))
        return false;
    out->spot = json_is_true(json_object_get(value, "loaners"));
    out->has_notice = json_is_number(notice);
    out->notice_s = json_number_value(notice);
    size_t n = json_array_size(tasks);
    out->tasks = n ? rp_alloc(n, sizeof *out->tasks) : NULL;
    for (; out->n_tasks < n; out->n_tasks++)
        if (!read_task_status(json_array_get(tasks, out->n_tasks), &out->tasks[out->n_tasks]))
            return false;
    return true;
}

bool rp_worker_codec_parse_heartbeat(const char *body, size_t len, struct rp_heartbeat *out) {
    json_t *value = rp_codec_parse_object(body, len);
    memset(out, 0, sizeof *out);
    bool is_ok = value && read_heartbeat(value, out);
    json_decref(value);
    if (!is_ok)
        rp_heartbeat_free(out);
    return is_ok;
}

void rp_heartbeat_free(struct rp_heartbeat *heartbeat) {
    free(heartbeat->tasks);
    heartbeat->tasks = NULL;
    heartbeat->n_tasks = 0;
}

static json_t *write_command(const struct rp_command *command) {
    char task[TASK_NAME_BYTES];
    snprintf(task, sizeof task, "%s/%u", command->job, command->task);
    json_t *value = json_pack("{s:s,s:s,s:o}", "signal", command_names[command->kind], "lift", task,
                              "pull", rp_json_from_count(command->attempt));
    if (command->kind == RP_COMMAND_STOP)
        json_object_set_new(value, "ease_s", json_real(command->grace_s));
    return value;
}

static json_t *write_commands(const struct rp_command *commands, size_t n) {
    json_t *list = json_array();
    for (size_t i = 0; i < n; i++)
        json_array_append_new(list, write_command(&commands[i]));
    return list;
}

char *rp_worker_codec_write_heartbeat_response(uint64_t fencing_token,
                                               const struct rp_command *commands, size_t n) {
    return rp_codec_write(json_pack("{s:o,s:o}", "warrant", rp_json_from_count(fencing_token),
                                    "signals", write_commands(commands, n)));
}

char *rp_worker_codec_write_direct_commands(uint64_t fencing_token, uint64_t incarnation,
                                            const struct rp_command *commands, size_t n) {
    return rp_codec_write(json_pack("{s:o,s:o,s:o}", "warrant", rp_json_from_count(fencing_token),
                                    "stint", rp_json_from_count(incarnation), "signals",
                                    write_commands(commands, n)));
}

char *rp_worker_codec_write_leader_hint(const char *leader) {
    return rp_codec_write(leader ? json_pack("{s:s}", "foreman", leader) : json_object());
}
