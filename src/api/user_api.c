#include "api/user_api.h"

#include <stdlib.h>
#include "api/refusal.h"
#include "api/submission_check.h"
#include "api/submission_record.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "cluster/job_phase.h"
#include "protocol/codec.h"
#include "protocol/job_codec.h"
#include "protocol/kv_codec.h"
#include "protocol/user_codec.h"

/* Failed writes after which a request is answered with 503, so that its user repeats it: a conflict
 * or a lost response mostly happens once. */
#define WRITES_MAX 4
/* Seconds in the `Retry-After` header of a response to a request that cannot be answered now. */
#define RETRY_AFTER_S 1
#define NO_RETRY_AFTER 0
/* Seconds for which a request waits for its job's phase. A user waits 2 s for a response
 * (PROTOCOL). */
#define PHASE_WAIT_MAX_S 1.5
/* Seconds between two reads of the phase for a request that waits. */
#define PHASE_PERIOD_S 0.1

enum request_kind { REQUEST_SUBMIT, REQUEST_QUERY, REQUEST_CANCEL };

enum request_state {
    REQUEST_LOOKING_UP,       /* is the job open? looked up together with other users' queries */
    REQUEST_READING_OPEN,     /* is the job open? read by a request of its own */
    REQUEST_READING_TERMINAL, /* has the job ended? */
    REQUEST_READING_FORMAT,   /* do all nodes support services by now? */
    REQUEST_WRITING,        /* the transaction of the submission or the cancellation is in flight */
    REQUEST_AWAITING_PHASE, /* the job is open; is a task running? */
    REQUEST_ANSWERED
};

/* A user's request from its arrival to its response. */
struct user_request {
    struct rp_user_api *api;
    struct rp_request *req;
    enum request_kind kind;
    enum request_state state;
    char id[RP_ID_MAX];
    struct rp_job_spec spec;   /* of a submission */
    struct rp_refusal refusal; /* the reason to refuse a submission if its job does not exist */
    uint64_t open_revision;    /* revision of the open job's record, as last read */
    unsigned n_writes_failed;
    bool is_absence_from_lookup; /* a lookup, not a read, has shown that the job is not open */
    size_t value_max_bytes; /* lowered after the store has refused a larger value; 0: the limit of
                               the settings */
    struct timespec received_at;
    struct rp_timer phase_timer; /* set while the request awaits the job's phase */
};

static void set_state(struct user_request *request, enum request_state state);

/* The state in which it is found out whether the job is open. */
static enum request_state state_of_lookup(const struct user_request *request) {
    bool should_batch =
        request->kind == REQUEST_QUERY && rp_job_lookup_should_batch(request->api->job_lookup);
    return should_batch ? REQUEST_LOOKING_UP : REQUEST_READING_OPEN;
}

static bool has_time_to_wait(const struct user_request *request) {
    struct timespec now = rp_loop_now(request->api->loop);
    return rp_ts_since(now, request->received_at) < PHASE_WAIT_MAX_S;
}

/* ---- responses, each of which ends the request ---- */

/* Responds with `body`, which is freed, and frees the request. */
static void respond(struct user_request *request, enum rp_response_status status, char *body,
                    int retry_after_s) {
    struct rp_user_api *api = request->api;
    set_state(request, REQUEST_ANSWERED);
    rp_metrics_add(api->metrics,
                   request->kind == REQUEST_SUBMIT ? RP_METRIC_SUBMIT : RP_METRIC_QUERY,
                   rp_ts_since(rp_loop_now(api->loop), request->received_at));
    request->req->respond(request->req, status, body ? body : "{}", retry_after_s);
    free(body);
    rp_job_spec_free(&request->spec);
    free(request);
}

static void respond_refusal(struct user_request *request) {
    enum rp_response_status status = rp_refusal_status(&request->refusal);
    const char *text = rp_refusal_text(&request->refusal);
    rp_info("submission refused: job=%s status=%d reason=%s", request->id, (int)status, text);
    respond(request, status, rp_codec_write_error(text), NO_RETRY_AFTER);
}

/* Responds that the request cannot be answered now. A malformed submission is refused instead,
 * although the store could not be read: it cannot repeat an accepted one, since the node that
 * accepted a job has read the same body and found it well-formed. */
static void respond_unavailable(struct user_request *request) {
    bool is_malformed = rp_refusal_status(&request->refusal) == RP_RESPONSE_MALFORMED;
    if (request->kind == REQUEST_SUBMIT && is_malformed)
        respond_refusal(request);
    else
        respond(request, RP_RESPONSE_UNAVAILABLE, rp_codec_write_error(RP_TEXT_UNAVAILABLE),
                RETRY_AFTER_S);
}

static void respond_phase(struct user_request *request, enum rp_response_status status,
                          enum rp_job_phase phase) {
    struct rp_job_status job = {.phase = phase};
    rp_string_copy(job.id, sizeof job.id, request->id);
    respond(request, status, rp_user_codec_write_job_status(&job), NO_RETRY_AFTER);
}

/* Counts and logs a response that would break a rule of PROTOCOL. It is not sent; the user repeats
 * the request. */
static void respond_instead_of_violation(struct user_request *request, const char *rule,
                                         double age_s) {
    request->api->n_rule_violations++;
    rp_error("response withheld, it would break a rule: rule=%s job=%s age_s=%.1f", rule,
             request->id, age_s);
    respond_unavailable(request);
}

/* Responds to a request about an open job with its phase. While that is undetermined, the request
 * waits for as long as its user does; then the user is told nothing rather than a guess. */
static void respond_open_job(struct user_request *request) {
    struct rp_user_api *api = request->api;
    struct rp_job_status job = {0};
    rp_string_copy(job.id, sizeof job.id, request->id);
    api->read_phase(api->arg, &job);
    if (job.phase != RP_JOB_UNDETERMINED && job.age_s > RP_JOB_PHASE_AGE_MAX_S) {
        respond_instead_of_violation(request, "state", job.age_s);
    } else if (job.phase != RP_JOB_UNDETERMINED) {
        respond(request, RP_RESPONSE_OK, rp_user_codec_write_job_status(&job), NO_RETRY_AFTER);
    } else if (has_time_to_wait(request)) {
        set_state(request, REQUEST_AWAITING_PHASE);
    } else {
        api->n_undetermined++;
        rp_debug("query refused, state of the job unknown: job=%s waited_s=%.1f", request->id,
                 rp_ts_since(rp_loop_now(api->loop), request->received_at));
        respond_unavailable(request);
    }
}

/* Reads the job again once its phase is determined, since it may have ended meanwhile. */
static void on_phase_timer(void *arg) {
    struct user_request *request = arg;
    struct rp_user_api *api = request->api;
    struct rp_job_status job = {0};
    rp_string_copy(job.id, sizeof job.id, request->id);
    api->read_phase(api->arg, &job);
    if (job.phase != RP_JOB_UNDETERMINED)
        set_state(request, state_of_lookup(request));
    else if (has_time_to_wait(request))
        rp_timer_set(api->loop, &request->phase_timer, PHASE_PERIOD_S);
    else
        respond_open_job(request);
}

/* Responds with the terminal state that was read from the store or written to it. A terminal state
 * never changes: this node caches it, and answers later requests without the store. */
static void respond_terminal_state(struct user_request *request, enum rp_job_phase phase) {
    rp_terminal_states_record(request->api->terminal_states, request->id, phase);
    respond_phase(request, RP_RESPONSE_OK, phase);
}

/* Responds if this node has cached the job's terminal state; returns whether it did. */
static bool respond_cached_terminal_state(struct user_request *request) {
    enum rp_job_phase phase;
    if (!rp_terminal_states_find(request->api->terminal_states, request->id, &phase))
        return false;
    respond_phase(request, RP_RESPONSE_OK, phase);
    return true;
}

/* Whether this node leads, and had the job in its table before the request came. A job that was
 * accepted meanwhile may be missing from what the request has read. */
static bool is_led_here(const struct user_request *request) {
    const struct rp_job *job = rp_jobs_find(request->api->cluster->jobs, request->id);
    return job && job->state == RP_JOB_OPEN &&
           rp_ts_cmp(job->first_seen_at, request->received_at) < 0;
}

/* ---- events ---- */

static void on_job_not_found(struct user_request *request) {
    if (request->is_absence_from_lookup) {
        /* A lookup alone is not enough to answer that a job does not exist: with a store that names
         * only some of the failed conditions, accepted jobs would be reported as unknown. */
        request->is_absence_from_lookup = false;
        set_state(request, REQUEST_READING_OPEN);
    } else if (is_led_here(request)) {
        respond_instead_of_violation(request, "forgotten", 0);
    } else if (request->kind != REQUEST_SUBMIT) {
        respond(request, RP_RESPONSE_NOT_FOUND, rp_codec_write_error("no such job"),
                NO_RETRY_AFTER);
    } else if (request->refusal.reason == RP_REFUSAL_NONE) {
        set_state(request, REQUEST_WRITING);
    } else if (rp_refusal_status(&request->refusal) == RP_RESPONSE_UNAVAILABLE) {
        respond_unavailable(request);
    } else {
        respond_refusal(request);
    }
}

static void on_terminal_record_read(void *arg, const struct rp_kv_result *result) {
    struct user_request *request = arg;
    struct rp_kv_item item;
    enum rp_job_phase phase;
    if (result->outcome == RP_KV_NOT_FOUND)
        on_job_not_found(request);
    else if (rp_kv_result_item(result, &item) && rp_record_terminal_read(item.value, &phase))
        respond_terminal_state(request, phase);
    else
        respond_unavailable(request);
}

static void on_lookup_result(void *arg, enum rp_lookup_result result) {
    struct user_request *request = arg;
    switch (result) {
    case RP_LOOKUP_OPEN:
        respond_open_job(request);
        break;
    case RP_LOOKUP_NOT_OPEN:
        request->is_absence_from_lookup = true;
        set_state(request, REQUEST_READING_TERMINAL);
        break;
    case RP_LOOKUP_UNAVAILABLE:
        respond_unavailable(request);
        break;
    }
}

static void on_open_record_read(void *arg, const struct rp_kv_result *result) {
    struct user_request *request = arg;
    struct rp_kv_item item;
    if (result->outcome == RP_KV_NOT_FOUND) {
        set_state(request, REQUEST_READING_TERMINAL);
    } else if (rp_kv_result_item(result, &item)) {
        request->open_revision = item.revision;
        if (request->kind == REQUEST_CANCEL)
            set_state(request, REQUEST_WRITING);
        else
            respond_open_job(request);
    } else {
        respond_unavailable(request);
    }
}

/* A node of the previous version would run a service like an array, and report it as done: a
 * service is accepted only once no such node is left. */
static void on_format_read(void *arg, const struct rp_kv_result *result) {
    struct user_request *request = arg;
    struct rp_upgrade *upgrade = request->api->upgrade;
    struct rp_kv_item item;
    if (rp_kv_result_item(result, &item))
        rp_upgrade_on_activation_record(upgrade, item.value);
    if (rp_upgrade_is_active(upgrade)) {
        set_state(request, REQUEST_WRITING);
        return;
    }
    request->refusal.reason = RP_REFUSAL_FORMAT_NOT_ACTIVE;
    set_state(request, REQUEST_READING_OPEN);
}

static void on_written(struct user_request *request) {
    if (request->kind == REQUEST_SUBMIT) {
        request->api->n_accepted++;
        rp_debug("job accepted: job=%s", request->id);
        respond_phase(request, RP_RESPONSE_CREATED, RP_JOB_QUEUED);
    } else {
        rp_info("job cancelled by its user: job=%s", request->id);
        respond_terminal_state(request, RP_JOB_CANCELLED);
    }
}

static size_t value_max_bytes(const struct user_request *request) {
    return request->value_max_bytes ? request->value_max_bytes
                                    : rp_submission_value_max_bytes(request->api->upgrade);
}

static void on_write_ended(void *arg, const struct rp_kv_result *result) {
    struct user_request *request = arg;
    bool is_conflict = result->outcome == RP_KV_CONDITION_FAILED;
    bool is_unknown = result->outcome == RP_KV_UNKNOWN;
    bool is_too_large = result->outcome == RP_KV_BAD_REQUEST && request->kind == REQUEST_SUBMIT;
    if (result->outcome == RP_KV_OK) {
        on_written(request);
        return;
    }
    bool may_succeed = is_conflict || is_unknown || is_too_large;
    if (!may_succeed || ++request->n_writes_failed >= WRITES_MAX) {
        respond_unavailable(request);
    } else if (is_too_large) {
        request->value_max_bytes = value_max_bytes(request) / 2;
        set_state(request, REQUEST_WRITING);
    } else {
        /* A conflict: the job exists, or has changed since it was read. No response: only a read
         * shows whether the write was carried out. If the write was not carried out, it may still
         * be, and a second write is harmless since both carry the same conditions. */
        set_state(request, REQUEST_READING_OPEN);
    }
}

/* ---- actions ---- */

static void submit_transaction(struct user_request *request, struct rp_kv_txn *txn) {
    rp_kv_txn_submit(request->api->store, RP_KV_BUDGET_SUBMISSIONS, txn, on_write_ended, request);
}

/* Writes the submission. A record that is too large for one value is written in parts, all in one
 * transaction, so that the job is stored entirely or not at all. Before the activation of RP_FORMAT
 * no node reads parts, and the user has to repeat the submission later. */
static void write_submission(struct user_request *request) {
    struct rp_user_api *api = request->api;
    struct rp_submission_pieces pieces;
    char open[RP_KEY_MAX];
    char terminal[RP_KEY_MAX];
    char part[RP_KEY_MAX];
    rp_submission_record(api->upgrade, api->catalog_source->catalog, &request->spec,
                         value_max_bytes(request), &pieces);
    if (pieces.n == 0) {
        request->refusal.reason = rp_upgrade_is_active(api->upgrade) ? RP_REFUSAL_TOO_LARGE
                                                                     : RP_REFUSAL_FORMAT_NOT_ACTIVE;
        set_state(request, REQUEST_READING_OPEN);
        return;
    }
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_key(open, RP_KEY_OPEN, request->id);
    rp_key(terminal, RP_KEY_TERMINAL, request->id);
    rp_kv_txn_if(txn, open, RP_KV_ABSENT);
    rp_kv_txn_if(txn, terminal, RP_KV_ABSENT);
    rp_kv_txn_put(txn, open, pieces.values[0], RP_KV_NO_LEASE);
    for (size_t i = 1; i < pieces.n; i++) {
        rp_key_part(part, request->id, (unsigned)i);
        rp_kv_txn_put(txn, part, pieces.values[i], RP_KV_NO_LEASE);
    }
    submit_transaction(request, txn);
}

static void write_cancellation(struct user_request *request) {
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    char open[RP_KEY_MAX];
    char terminal[RP_KEY_MAX];
    rp_key(open, RP_KEY_OPEN, request->id);
    rp_key(terminal, RP_KEY_TERMINAL, request->id);
    rp_kv_txn_if(txn, open, request->open_revision);
    rp_kv_txn_delete(txn, open);
    rp_kv_txn_put(
        txn, terminal,
        rp_upgrade_mark_record(request->api->upgrade, rp_record_terminal(RP_JOB_CANCELLED)),
        RP_KV_NO_LEASE);
    submit_transaction(request, txn);
}

static void read_key(struct user_request *request, const char *key, rp_kv_fn on_read) {
    enum rp_kv_budget budget =
        request->kind == REQUEST_QUERY ? RP_KV_BUDGET_QUERIES : RP_KV_BUDGET_SUBMISSIONS;
    rp_kv_get(request->api->store, budget, key, on_read, request);
}

/* The only place where a request changes its state. The first state depends on the request:
 * - a submission is written; one of a service reads the format first, unless RP_FORMAT is known to
 *   be active; one with a reason for refusal reads the open record first, since a job that exists
 *   already is answered with its state;
 * - a query is looked up together with others, or reads the open record;
 * - a cancellation reads the open record.
 * The changes after that:
 * - looking up -> reading terminal: the lookup showed that the job is not open;
 * - reading open -> reading terminal: the read showed that the job is not open;
 * - reading open -> writing: the job is open and is to be cancelled;
 * - reading terminal -> reading open: the job has no terminal record, and only a lookup has shown
 *   that it is not open;
 * - reading terminal -> writing: the job does not exist, and is to be accepted;
 * - reading format -> writing: every node supports services;
 * - reading format -> reading open: not every node supports services, and only a job that exists
 *   already is answered with its state;
 * - writing -> writing: the store refused the size, and the record is written in smaller pieces;
 * - writing -> reading open: a conflict, or no response, or the submission cannot be stored;
 * - looking up, reading open -> awaiting phase: the job is open, and whether a task is running
 * is undetermined;
 * - awaiting phase -> looking up or reading open: it is determined now, and the job is read
 * again;
 * - any -> answered: the response has been sent, and the request is freed. */
static void set_state(struct user_request *request, enum request_state state) {
    char key[RP_KEY_MAX];
    request->state = state;
    switch (state) {
    case REQUEST_LOOKING_UP:
        rp_job_lookup_add(request->api->job_lookup, request->id, on_lookup_result, request);
        break;
    case REQUEST_READING_OPEN:
        rp_key(key, RP_KEY_OPEN, request->id);
        read_key(request, key, on_open_record_read);
        break;
    case REQUEST_READING_TERMINAL:
        rp_key(key, RP_KEY_TERMINAL, request->id);
        read_key(request, key, on_terminal_record_read);
        break;
    case REQUEST_READING_FORMAT:
        read_key(request, RP_KEY_ACTIVATION, on_format_read);
        break;
    case REQUEST_WRITING:
        if (request->kind == REQUEST_SUBMIT)
            write_submission(request);
        else
            write_cancellation(request);
        break;
    case REQUEST_AWAITING_PHASE:
        request->phase_timer = (struct rp_timer){.fn = on_phase_timer, .arg = request};
        rp_timer_set(request->api->loop, &request->phase_timer, PHASE_PERIOD_S);
        break;
    case REQUEST_ANSWERED:
        break;
    }
}

/* ---- requests ---- */

/* Creates a request. `id` is "" if it has not been parsed yet. */
static struct user_request *request_new(struct rp_user_api *api, struct rp_request *req,
                                        enum request_kind kind, const char *id) {
    struct user_request *request = rp_alloc(1, sizeof *request);
    request->api = api;
    request->req = req;
    request->kind = kind;
    request->received_at = rp_loop_now(api->loop);
    rp_string_copy(request->id, sizeof request->id, id);
    return request;
}

/* Parses the submission and checks it; a reason to refuse it is stored in its refusal. */
static void read_submission(struct user_request *request) {
    const struct rp_user_api *api = request->api;
    struct rp_refusal *refusal = &request->refusal;
    const struct rp_request *req = request->req;
    struct rp_codec_error error;
    if (!rp_user_codec_parse_submission(req->body, req->len, &request->spec, &error)) {
        refusal->reason = RP_REFUSAL_MALFORMED;
        rp_codec_error_text(&error, refusal->detail);
        return;
    }
    refusal->reason =
        rp_submission_check(api->settings, api->catalog_source, api->cluster, &request->spec);
}

void rp_user_api_submit(struct rp_user_api *api, struct rp_request *req) {
    struct user_request *request = request_new(api, req, REQUEST_SUBMIT, "");
    if (!rp_user_codec_parse_submission_id(req->body, req->len, request->id)) {
        request->refusal.reason = RP_REFUSAL_NO_ID;
        respond_refusal(request);
        return;
    }
    if (respond_cached_terminal_state(request))
        return;
    read_submission(request);
    bool is_service = request->spec.kind == RP_JOB_SERVICE;
    if (request->refusal.reason != RP_REFUSAL_NONE)
        set_state(request, REQUEST_READING_OPEN);
    else if (is_service && !rp_upgrade_is_active(api->upgrade))
        set_state(request, REQUEST_READING_FORMAT);
    else
        set_state(request, REQUEST_WRITING);
}

void rp_user_api_query(struct rp_user_api *api, struct rp_request *req, const char *id) {
    struct user_request *request = request_new(api, req, REQUEST_QUERY, id);
    if (respond_cached_terminal_state(request))
        return;
    set_state(request, state_of_lookup(request));
}

void rp_user_api_cancel(struct rp_user_api *api, struct rp_request *req, const char *id) {
    struct user_request *request = request_new(api, req, REQUEST_CANCEL, id);
    if (!respond_cached_terminal_state(request))
        set_state(request, REQUEST_READING_OPEN);
}
