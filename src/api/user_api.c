#include "api/user_api.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/string_copy.h"
#include "protocol/codec.h"
#include "protocol/job_codec.h"
#include "protocol/kv_codec.h"
#include "protocol/user_codec.h"

#define TRIES 4
#define RETRY_AFTER_S 1

enum op_kind { OP_SUBMIT, OP_QUERY, OP_CANCEL };

/* Where a user's request stands. */
enum op_state {
    OP_LOOK_UP,     /* is the job open? asked together with other questions */
    OP_READ_OPEN,   /* the same, with a request of its own */
    OP_READ_OVER,   /* or over? */
    OP_READ_FORMAT, /* does every node know services by now? */
    OP_WRITE,       /* the submission's or the cancellation's transaction */
    OP_ANSWERED
};

struct op {
    struct rp_user_api *api;
    struct rp_request *req;
    enum op_kind kind;
    enum op_state state;
    char id[RP_ID_MAX];
    struct rp_job_spec spec;
    int refusal; /* what a submission gets if its id isn't known: 400, 422, 503 or 0 */
    char why[RP_CODEC_ERROR_MAX];
    uint64_t version;
    unsigned tries;
    bool looked_up;    /* the answer comes from a lookup, not from a read of the job's own record */
    size_t value_most; /* bytes of a value, once the service has refused more; 0: as told */
    struct timespec since;
};

static void op_next(struct op *operation, enum op_state state);

static void op_answer(struct op *operation, int status, char *body, int retry_after) {
    operation->state = OP_ANSWERED;
    if (status == 400 || status == 422)
        rp_info("submission %s refused with %d: %s", operation->id, status, operation->why);
    rp_metrics_add(operation->api->metrics,
                   operation->kind == OP_SUBMIT ? RP_METRIC_SUBMIT : RP_METRIC_QUERY,
                   rp_ts_since(rp_loop_now(operation->api->loop), operation->since));
    operation->req->respond(operation->req, status, body ? body : "{}", retry_after);
    free(body);
    rp_job_spec_free(&operation->spec);
    free(operation);
}

/* A malformed submission needs no look at the state service: whoever accepted the job before has
 * read the same body, and found it sound. */
static void op_unavailable(struct op *operation) {
    if (operation->kind == OP_SUBMIT && operation->refusal == 400)
        op_answer(operation, 400, rp_codec_write_error(operation->why), 0);
    else
        op_answer(operation, 503, rp_codec_write_error("not possible just now"), RETRY_AFTER_S);
}

static void op_status(struct op *operation, int status, enum rp_job_phase phase) {
    struct rp_job_status st = {.phase = phase};
    rp_string_copy(st.id, sizeof st.id, operation->id);
    if (phase == RP_JOB_QUEUED && status == 200)
        operation->api->fill_running_counts(operation->api->arg, &st);
    op_answer(operation, status, rp_user_codec_write_job_status(&st), 0);
}

/* The job's end, as the state service has it: it stays so, and this node answers by itself next
 * time. */
static void op_final(struct op *operation, enum rp_job_phase phase) {
    rp_terminal_states_note(operation->api->terminal_states, operation->id, phase);
    op_status(operation, 200, phase);
}

static bool op_known_final(struct op *operation) {
    enum rp_job_phase phase;
    if (!rp_terminal_states_find(operation->api->terminal_states, operation->id, &phase))
        return false;
    op_status(operation, 200, phase);
    return true;
}

static void op_unknown_job(struct op *operation) {
    /* Nobody is told that a job doesn't exist on the word of a lookup alone: a service that names
     * only some of the conditions that failed would make accepted jobs unknown. */
    if (operation->looked_up) {
        operation->looked_up = false;
        op_next(operation, OP_READ_OPEN);
    } else if (operation->kind != OP_SUBMIT)
        op_answer(operation, 404, rp_codec_write_error("no such job"), 0);
    else if (operation->refusal == 503)
        op_unavailable(operation);
    else if (operation->refusal)
        op_answer(operation, operation->refusal, rp_codec_write_error(operation->why), 0);
    else
        op_next(operation, OP_WRITE);
}

static void over_read(void *arg, const struct rp_kv_result *result) {
    struct op *operation = arg;
    struct rp_kv_item item;
    enum rp_job_phase phase;
    if (result->outcome == RP_KV_NOT_FOUND)
        op_unknown_job(operation);
    else if (rp_kv_result_item(result, &item) && rp_record_terminal_read(item.value, &phase))
        op_final(operation, phase);
    else
        op_unavailable(operation);
}

static void looked_up(void *arg, enum rp_lookup_result result) {
    struct op *operation = arg;
    switch (result) {
    case RP_LOOKUP_OPEN:
        op_status(operation, 200, RP_JOB_QUEUED);
        break;
    case RP_LOOKUP_NOT_OPEN:
        operation->looked_up = true;
        op_next(operation, OP_READ_OVER);
        break;
    case RP_LOOKUP_UNAVAILABLE:
        op_unavailable(operation);
        break;
    }
}

static void open_read(void *arg, const struct rp_kv_result *result) {
    struct op *operation = arg;
    struct rp_kv_item item;
    if (result->outcome == RP_KV_NOT_FOUND) {
        op_next(operation, OP_READ_OVER);
    } else if (rp_kv_result_item(result, &item)) {
        operation->version = item.revision;
        if (operation->kind == OP_CANCEL)
            op_next(operation, OP_WRITE);
        else
            op_status(operation, 200, RP_JOB_QUEUED);
    } else {
        op_unavailable(operation);
    }
}

/* What a value may have: until every node knows better, today's limit. */
static size_t value_limit(const struct op *operation) {
    const struct rp_settings *settings = operation->api->settings;
    bool fit = rp_upgrade_is_active(operation->api->upgrade);
    return (size_t)((fit ? settings->state_fit : settings->state).value_kb * 1024);
}

/* A node of the version before would run a service like an array, and call it done: it is accepted
 * only once there is none left. */
static void format_read(void *arg, const struct rp_kv_result *result) {
    struct op *operation = arg;
    struct rp_kv_item item;
    if (rp_kv_result_item(result, &item))
        rp_upgrade_on_activation_record(operation->api->upgrade, item.value);
    if (rp_upgrade_is_active(operation->api->upgrade)) {
        op_next(operation, OP_WRITE);
        return;
    }
    operation->refusal = 503;
    op_next(operation, OP_READ_OPEN);
}

static void written(void *arg, const struct rp_kv_result *result) {
    struct op *operation = arg;
    if (result->outcome == RP_KV_OK) {
        if (operation->kind == OP_SUBMIT) {
            operation->api->n_accepted++;
            rp_debug("job %s accepted", operation->id);
            op_status(operation, 201, RP_JOB_QUEUED);
        } else {
            rp_info("job %s cancelled by its user", operation->id);
            op_final(operation, RP_JOB_CANCELLED);
        }
        return;
    }
    /* A conflict: the job is known, or has changed meanwhile. No answer: only a look tells
     * whether the write was carried out; if it was not, it still may be, and writing again is
     * harmless since both carry the same conditions. */
    if (result->outcome == RP_KV_BAD_REQUEST && operation->kind == OP_SUBMIT &&
        ++operation->tries < TRIES) {
        operation->value_most =
            (operation->value_most ? operation->value_most : value_limit(operation)) / 2;
        op_next(operation, OP_WRITE);
        return;
    }
    if ((result->outcome == RP_KV_CONDITION_FAILED || result->outcome == RP_KV_UNKNOWN) &&
        ++operation->tries < TRIES)
        op_next(operation, OP_READ_OPEN);
    else
        op_unavailable(operation);
}

/* The allowed types without repetitions, and without those that no machine is of: the job means
 * the same, and its record is much shorter where somebody lists a thousand. */
static void forget_useless_types(const struct rp_catalog *catalog, struct rp_job_spec *spec) {
    size_t kept = 0;
    for (size_t i = 0; i < spec->n_types; i++) {
        bool known = false, again = false;
        for (size_t t = 0; t < catalog->n_types; t++)
            known |= strcmp(catalog->types[t].name, spec->types[i]) == 0;
        for (size_t k = 0; k < kept; k++)
            again |= strcmp(spec->types[k], spec->types[i]) == 0;
        if (known && !again && kept++ != i)
            memcpy(spec->types[kept - 1], spec->types[i], sizeof spec->types[i]);
    }
    spec->n_types = kept;
}

/* The pieces in which the job's record is written: one mostly. 0: no transaction can hold it. */
static size_t submission_pieces(struct op *operation, json_t **pieces, size_t max) {
    struct rp_user_api *api = operation->api;
    size_t most = operation->value_most ? operation->value_most : value_limit(operation);
    struct timespec wall;
    clock_gettime(CLOCK_REALTIME, &wall);
    pieces[0] = rp_upgrade_mark_record(api->upgrade, rp_record_open(&operation->spec, wall));
    if (rp_record_size(pieces[0]) <= most)
        return 1;
    json_decref(pieces[0]);
    forget_useless_types(api->catalog_source->catalog, &operation->spec);
    json_t *record = rp_upgrade_mark_record(api->upgrade, rp_record_open(&operation->spec, wall));
    if (rp_record_size(record) <= most) {
        pieces[0] = record;
        return 1;
    }
    size_t count =
        rp_upgrade_is_active(api->upgrade) ? rp_record_cut(record, most, pieces, max) : 0;
    json_decref(record);
    return count;
}

/* What is too long for one value is written in parts, all in one transaction: so the job is there
 * whole or not at all. Before the activation nobody reads parts, and the user has to come again. */
static void write_submission(struct op *operation) {
    char open[RP_KEY_MAX], over[RP_KEY_MAX], part[RP_KEY_MAX];
    json_t *pieces[RP_PARTS_MAX];
    size_t max = operation->api->settings->state_fit.txn_ops;
    size_t count = submission_pieces(operation, pieces, max < RP_PARTS_MAX ? max : RP_PARTS_MAX);
    if (count == 0) {
        rp_string_copy(operation->why, sizeof operation->why,
                       "the description is longer than the state service can keep");
        operation->refusal = rp_upgrade_is_active(operation->api->upgrade) ? 422 : 503;
        op_next(operation, OP_READ_OPEN);
        return;
    }
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_key(open, RP_KEY_OPEN, operation->id);
    rp_key(over, RP_KEY_TERMINAL, operation->id);
    rp_kv_txn_if(txn, open, RP_KV_ABSENT);
    rp_kv_txn_if(txn, over, RP_KV_ABSENT);
    rp_kv_txn_put(txn, open, pieces[0], RP_KV_NO_LEASE);
    for (size_t i = 1; i < count; i++) {
        rp_key_part(part, operation->id, (unsigned)i);
        rp_kv_txn_put(txn, part, pieces[i], RP_KV_NO_LEASE);
    }
    rp_kv_txn_submit(operation->api->store, RP_KV_BUDGET_SUBMISSIONS, txn, written, operation);
}

static void write_cancellation(struct op *operation) {
    char open[RP_KEY_MAX], over[RP_KEY_MAX];
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_key(open, RP_KEY_OPEN, operation->id);
    rp_key(over, RP_KEY_TERMINAL, operation->id);
    rp_kv_txn_if(txn, open, operation->version);
    rp_kv_txn_delete(txn, open);
    rp_kv_txn_put(
        txn, over,
        rp_upgrade_mark_record(operation->api->upgrade, rp_record_terminal(RP_JOB_CANCELLED)),
        RP_KV_NO_LEASE);
    rp_kv_txn_submit(operation->api->store, RP_KV_BUDGET_SUBMISSIONS, txn, written, operation);
}

static enum rp_kv_budget op_share(const struct op *operation) {
    return operation->kind == OP_QUERY ? RP_KV_BUDGET_QUERIES : RP_KV_BUDGET_SUBMISSIONS;
}

/* The one place where a request changes its state. */
static void op_next(struct op *operation, enum op_state state) {
    char key[RP_KEY_MAX];
    operation->state = state;
    switch (state) {
    case OP_LOOK_UP:
        rp_job_lookup_add(operation->api->job_lookup, operation->id, looked_up, operation);
        break;
    case OP_READ_OPEN:
        rp_key(key, RP_KEY_OPEN, operation->id);
        rp_kv_get(operation->api->store, op_share(operation), key, open_read, operation);
        break;
    case OP_READ_OVER:
        rp_key(key, RP_KEY_TERMINAL, operation->id);
        rp_kv_get(operation->api->store, op_share(operation), key, over_read, operation);
        break;
    case OP_READ_FORMAT:
        rp_kv_get(operation->api->store, op_share(operation), RP_KEY_FORMAT, format_read,
                  operation);
        break;
    case OP_WRITE:
        if (operation->kind == OP_SUBMIT)
            write_submission(operation);
        else
            write_cancellation(operation);
        break;
    case OP_ANSWERED:
        break;
    }
}

static struct op *op_new(struct rp_user_api *api, struct rp_request *req, enum op_kind kind) {
    struct op *operation = calloc(1, sizeof *operation);
    if (!operation) {
        req->respond(req, 503, "{}", RETRY_AFTER_S);
        return NULL;
    }
    operation->api = api;
    operation->req = req;
    operation->kind = kind;
    operation->since = rp_loop_now(api->loop);
    return operation;
}

/* 422, 503 or 0. */
static int judge(const struct rp_user_api *api, const struct rp_job_spec *spec, char why[128]) {
    int index = rp_settings_team(api->settings, spec->team);
    bool fits = false;
    double tasks = spec->kind == RP_JOB_ARRAY ? 1 : spec->n_tasks;
    if (index < 0) {
        strcpy(why, "unknown team");
        return 422;
    }
    if (!api->catalog_source->known) {
        strcpy(why, "machine types are not known yet");
        return 503;
    }
    for (size_t t = 0; t < api->catalog_source->catalog->n_types; t++)
        for (size_t z = 0; z < api->catalog_source->catalog->n_zones; z++)
            fits |= (api->catalog_source->catalog->types[t].zones >> z & 1) &&
                    rp_cluster_is_allowed(api->cluster, spec, (int)t, (int)z, false);
    if (!fits) {
        strcpy(why, "a task fits no allowed machine type");
        return 422;
    }
    const struct rp_team *team = &api->settings->teams[index];
    if ((team->cpus_max > 0 && tasks * spec->each.cpus > team->cpus_max + 1e-9) ||
        (team->gpus_max > 0 && tasks * spec->each.gpus > team->gpus_max + 1e-9)) {
        strcpy(why, "needs more than the team's limit");
        return 422;
    }
    return 0;
}

void rp_user_api_submit(struct rp_user_api *api, struct rp_request *req) {
    struct op *operation = op_new(api, req, OP_SUBMIT);
    if (!operation)
        return;
    if (!rp_user_codec_parse_submission_id(req->body, req->len, operation->id)) {
        rp_string_copy(operation->why, sizeof operation->why, "not a JSON object with a valid id");
        op_answer(operation, 400, rp_codec_write_error(operation->why), 0);
        return;
    }
    if (op_known_final(operation))
        return;
    struct rp_codec_error error;
    if (rp_user_codec_parse_submission(req->body, req->len, &operation->spec, &error)) {
        operation->refusal = judge(api, &operation->spec, operation->why);
    } else {
        operation->refusal = 400;
        rp_codec_error_text(&error, operation->why);
    }
    /* A known job is answered before anything is found wrong with the rest of the request. */
    bool service = !operation->refusal && operation->spec.kind == RP_JOB_SERVICE;
    op_next(operation, operation->refusal                               ? OP_READ_OPEN
                       : service && !rp_upgrade_is_active(api->upgrade) ? OP_READ_FORMAT
                                                                        : OP_WRITE);
}

void rp_user_api_query(struct rp_user_api *api, struct rp_request *req, const char *id) {
    struct op *operation = op_new(api, req, OP_QUERY);
    if (!operation)
        return;
    rp_string_copy(operation->id, sizeof operation->id, id);
    if (!op_known_final(operation))
        op_next(operation, rp_job_lookup_must_batch(api->job_lookup) ? OP_LOOK_UP : OP_READ_OPEN);
}

void rp_user_api_cancel(struct rp_user_api *api, struct rp_request *req, const char *id) {
    struct op *operation = op_new(api, req, OP_CANCEL);
    if (!operation)
        return;
    rp_string_copy(operation->id, sizeof operation->id, id);
    if (!op_known_final(operation))
        op_next(operation, OP_READ_OPEN);
}
