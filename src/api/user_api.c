/* The users' interface: every node serves it straight from the state service, whose reads and
 * conditional writes are linearizable, so no node can give an older answer than another. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "controller/node.h"
#include "protocol/wire.h"

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
    struct rp_node *node;
    struct rp_request *req;
    enum op_kind kind;
    enum op_state state;
    char id[RP_ID_MAX];
    struct rp_job_spec spec;
    int refusal; /* what a submission gets if its id isn't known: 400, 422, 503 or 0 */
    char why[128];
    uint64_t version;
    unsigned tries;
    bool looked_up;    /* the answer comes from a lookup, not from a read of the job's own record */
    size_t value_most; /* bytes of a value, once the service has refused more; 0: as told */
    struct timespec since;
};

static void op_next(struct op *op, enum op_state state);

static void op_answer(struct op *op, int status, char *body, int retry_after) {
    op->state = OP_ANSWERED;
    if (status == 400 || status == 422)
        rp_info("submission %s refused with %d: %s", op->id, status, op->why);
    rp_metrics_add(&op->node->metrics, op->kind == OP_SUBMIT ? RP_METRIC_SUBMIT : RP_METRIC_QUERY,
                   rp_ts_since(rp_loop_now(op->node->loop), op->since));
    op->req->respond(op->req, status, body ? body : "{}", retry_after);
    free(body);
    rp_job_spec_free(&op->spec);
    free(op);
}

/* A malformed submission needs no look at the state service: whoever accepted the job before has
 * read the same body, and found it sound. */
static void op_unavailable(struct op *op) {
    if (op->kind == OP_SUBMIT && op->refusal == 400)
        op_answer(op, 400, rp_wire_error(op->why), 0);
    else
        op_answer(op, 503, rp_wire_error("not possible just now"), RETRY_AFTER_S);
}

static void op_status(struct op *op, int status, enum rp_job_word word) {
    struct rp_job_status st = {.word = word};
    strcpy(st.id, op->id);
    if (word == RP_JOB_QUEUED && status == 200)
        rp_node_display(op->node, &st);
    op_answer(op, status, rp_wire_job_status(&st), 0);
}

/* The job's end, as the state service has it: it stays so, and this node answers by itself next
 * time. */
static void op_final(struct op *op, enum rp_job_word word) {
    rp_final_states_note(&op->node->final_states, op->id, word);
    op_status(op, 200, word);
}

static bool op_known_final(struct op *op) {
    enum rp_job_word word;
    if (!rp_final_states_find(&op->node->final_states, op->id, &word))
        return false;
    op_status(op, 200, word);
    return true;
}

static void op_unknown_job(struct op *op) {
    /* Nobody is told that a job doesn't exist on the word of a lookup alone: a service that names
     * only some of the conditions that failed would make accepted jobs unknown. */
    if (op->looked_up) {
        op->looked_up = false;
        op_next(op, OP_READ_OPEN);
    } else if (op->kind != OP_SUBMIT)
        op_answer(op, 404, rp_wire_error("no such job"), 0);
    else if (op->refusal == 503)
        op_unavailable(op);
    else if (op->refusal)
        op_answer(op, op->refusal, rp_wire_error(op->why), 0);
    else
        op_next(op, OP_WRITE);
}

static void over_read(void *arg, const struct rp_state_result *r) {
    struct op *op = arg;
    struct rp_item item;
    enum rp_job_word word;
    if (r->outcome == RP_STATE_MISSING)
        op_unknown_job(op);
    else if (r->outcome == RP_STATE_OK && rp_wire_item(r->body, &item) &&
             rp_record_over_read(item.value, &word))
        op_final(op, word);
    else
        op_unavailable(op);
}

static void looked_up(void *arg, enum rp_lookup_result result) {
    struct op *op = arg;
    switch (result) {
    case RP_LOOKUP_OPEN:
        op_status(op, 200, RP_JOB_QUEUED);
        break;
    case RP_LOOKUP_NOT_OPEN:
        op->looked_up = true;
        op_next(op, OP_READ_OVER);
        break;
    case RP_LOOKUP_UNAVAILABLE:
        op_unavailable(op);
        break;
    }
}

static void open_read(void *arg, const struct rp_state_result *r) {
    struct op *op = arg;
    struct rp_item item;
    if (r->outcome == RP_STATE_MISSING) {
        op_next(op, OP_READ_OVER);
    } else if (r->outcome == RP_STATE_OK && rp_wire_item(r->body, &item)) {
        op->version = item.version;
        if (op->kind == OP_CANCEL)
            op_next(op, OP_WRITE);
        else
            op_status(op, 200, RP_JOB_QUEUED);
    } else {
        op_unavailable(op);
    }
}

/* What a value may have: until every node knows better, today's limit. */
static size_t value_limit(const struct op *op) {
    const struct rp_settings *s = op->node->settings;
    bool fit = rp_upgrade_active(&op->node->upgrade);
    return (size_t)((fit ? s->state_fit : s->state).value_kb * 1024);
}

/* A node of the version before would run a service like an array, and call it done: it is accepted
 * only once there is none left. */
static void format_read(void *arg, const struct rp_state_result *r) {
    struct op *op = arg;
    struct rp_item item;
    if (r->outcome == RP_STATE_OK && rp_wire_item(r->body, &item))
        rp_upgrade_read(&op->node->upgrade, item.value);
    if (rp_upgrade_active(&op->node->upgrade)) {
        op_next(op, OP_WRITE);
        return;
    }
    op->refusal = 503;
    op_next(op, OP_READ_OPEN);
}

static void written(void *arg, const struct rp_state_result *r) {
    struct op *op = arg;
    if (r->outcome == RP_STATE_OK) {
        if (op->kind == OP_SUBMIT) {
            op->node->n_accepted++;
            rp_debug("job %s accepted", op->id);
            op_status(op, 201, RP_JOB_QUEUED);
        } else {
            rp_info("job %s cancelled by its user", op->id);
            op_final(op, RP_JOB_CANCELLED);
        }
        return;
    }
    /* A conflict: the job is known, or has changed meanwhile. No answer: only a look tells
     * whether the write was carried out; if it was not, it still may be, and writing again is
     * harmless since both carry the same conditions. */
    if (r->outcome == RP_STATE_BAD && op->kind == OP_SUBMIT && ++op->tries < TRIES) {
        op->value_most = (op->value_most ? op->value_most : value_limit(op)) / 2;
        op_next(op, OP_WRITE);
        return;
    }
    if ((r->outcome == RP_STATE_CONFLICT || r->outcome == RP_STATE_UNKNOWN) && ++op->tries < TRIES)
        op_next(op, OP_READ_OPEN);
    else
        op_unavailable(op);
}

/* The allowed types without repetitions, and without those that no machine is of: the job means
 * the same, and its record is much shorter where somebody lists a thousand. */
static void forget_useless_types(const struct rp_catalog *c, struct rp_job_spec *spec) {
    size_t kept = 0;
    for (size_t i = 0; i < spec->n_types; i++) {
        bool known = false, again = false;
        for (size_t t = 0; t < c->n_types; t++)
            known |= strcmp(c->types[t].name, spec->types[i]) == 0;
        for (size_t k = 0; k < kept; k++)
            again |= strcmp(spec->types[k], spec->types[i]) == 0;
        if (known && !again && kept++ != i)
            memcpy(spec->types[kept - 1], spec->types[i], sizeof spec->types[i]);
    }
    spec->n_types = kept;
}

/* The pieces in which the job's record is written: one mostly. 0: no transaction can hold it. */
static size_t submission_pieces(struct op *op, json_t **pieces, size_t max) {
    struct rp_node *n = op->node;
    size_t most = op->value_most ? op->value_most : value_limit(op);
    struct timespec wall;
    clock_gettime(CLOCK_REALTIME, &wall);
    pieces[0] = rp_jobs_mark(&n->jobs, rp_record_open(&op->spec, wall));
    if (rp_record_size(pieces[0]) <= most)
        return 1;
    json_decref(pieces[0]);
    forget_useless_types(&n->catalog, &op->spec);
    json_t *record = rp_jobs_mark(&n->jobs, rp_record_open(&op->spec, wall));
    if (rp_record_size(record) <= most) {
        pieces[0] = record;
        return 1;
    }
    size_t count = rp_upgrade_active(&n->upgrade) ? rp_record_cut(record, most, pieces, max) : 0;
    json_decref(record);
    return count;
}

/* What is too long for one value is written in parts, all in one transaction: so the job is there
 * whole or not at all. Before the activation nobody reads parts, and the user has to come again. */
static void write_submission(struct op *op) {
    char open[RP_KEY_MAX], over[RP_KEY_MAX], part[RP_KEY_MAX];
    json_t *pieces[RP_PARTS_MAX];
    size_t max = op->node->settings->state_fit.txn_ops;
    size_t count = submission_pieces(op, pieces, max < RP_PARTS_MAX ? max : RP_PARTS_MAX);
    if (count == 0) {
        strcpy(op->why, "the description is longer than the state service can keep");
        op->refusal = rp_upgrade_active(&op->node->upgrade) ? 422 : 503;
        op_next(op, OP_READ_OPEN);
        return;
    }
    json_t *txn = rp_wire_txn();
    rp_key(open, RP_KEY_OPEN, op->id);
    rp_key(over, RP_KEY_OVER, op->id);
    rp_wire_txn_if(txn, open, 0);
    rp_wire_txn_if(txn, over, 0);
    rp_wire_txn_put(txn, open, pieces[0], 0);
    for (size_t i = 1; i < count; i++) {
        rp_key_part(part, op->id, (unsigned)i);
        rp_wire_txn_put(txn, part, pieces[i], 0);
    }
    rp_state_txn(&op->node->state, RP_SHARE_SUBMISSIONS, txn, written, op);
}

static void write_cancellation(struct op *op) {
    char open[RP_KEY_MAX], over[RP_KEY_MAX];
    json_t *txn = rp_wire_txn();
    rp_key(open, RP_KEY_OPEN, op->id);
    rp_key(over, RP_KEY_OVER, op->id);
    rp_wire_txn_if(txn, open, op->version);
    rp_wire_txn_delete(txn, open);
    rp_wire_txn_put(txn, over, rp_jobs_mark(&op->node->jobs, rp_record_over(RP_JOB_CANCELLED)), 0);
    rp_state_txn(&op->node->state, RP_SHARE_SUBMISSIONS, txn, written, op);
}

static enum rp_state_share op_share(const struct op *op) {
    return op->kind == OP_QUERY ? RP_SHARE_QUERIES : RP_SHARE_SUBMISSIONS;
}

/* The one place where a request changes its state. */
static void op_next(struct op *op, enum op_state state) {
    char key[RP_KEY_MAX];
    op->state = state;
    switch (state) {
    case OP_LOOK_UP:
        rp_job_lookup_add(&op->node->job_lookup, op->id, looked_up, op);
        break;
    case OP_READ_OPEN:
        rp_key(key, RP_KEY_OPEN, op->id);
        rp_state_get(&op->node->state, op_share(op), key, open_read, op);
        break;
    case OP_READ_OVER:
        rp_key(key, RP_KEY_OVER, op->id);
        rp_state_get(&op->node->state, op_share(op), key, over_read, op);
        break;
    case OP_READ_FORMAT:
        rp_state_get(&op->node->state, op_share(op), RP_KEY_FORMAT, format_read, op);
        break;
    case OP_WRITE:
        if (op->kind == OP_SUBMIT)
            write_submission(op);
        else
            write_cancellation(op);
        break;
    case OP_ANSWERED:
        break;
    }
}

static struct op *op_new(struct rp_node *n, struct rp_request *req, enum op_kind kind) {
    struct op *op = calloc(1, sizeof *op);
    if (!op) {
        req->respond(req, 503, "{}", RETRY_AFTER_S);
        return NULL;
    }
    op->node = n;
    op->req = req;
    op->kind = kind;
    op->since = rp_loop_now(n->loop);
    return op;
}

/* 422, 503 or 0. */
static int judge(const struct rp_node *n, const struct rp_job_spec *spec, char why[128]) {
    int index = rp_settings_team(n->settings, spec->team);
    bool fits = false;
    double tasks = spec->kind == RP_ARRAY ? 1 : spec->n_tasks;
    if (index < 0) {
        strcpy(why, "unknown team");
        return 422;
    }
    if (!n->catalog_source.known) {
        strcpy(why, "machine types are not known yet");
        return 503;
    }
    for (size_t t = 0; t < n->catalog.n_types; t++)
        for (size_t z = 0; z < n->catalog.n_zones; z++)
            fits |= (n->catalog.types[t].zones >> z & 1) &&
                    rp_cluster_allows(&n->cluster, spec, (int)t, (int)z, false);
    if (!fits) {
        strcpy(why, "a task fits no allowed machine type");
        return 422;
    }
    const struct rp_team *team = &n->settings->teams[index];
    if ((team->cpus_max > 0 && tasks * spec->each.cpus > team->cpus_max + 1e-9) ||
        (team->gpus_max > 0 && tasks * spec->each.gpus > team->gpus_max + 1e-9)) {
        strcpy(why, "needs more than the team's limit");
        return 422;
    }
    return 0;
}

void rp_api_submit(struct rp_node *n, struct rp_request *req) {
    struct op *op = op_new(n, req, OP_SUBMIT);
    if (!op)
        return;
    if (!rp_wire_submission_id(req->body, req->len, op->id)) {
        strcpy(op->why, "not a JSON object with a valid id");
        op_answer(op, 400, rp_wire_error(op->why), 0);
        return;
    }
    if (op_known_final(op))
        return;
    if (!rp_wire_submission(req->body, req->len, &op->spec, op->why))
        op->refusal = 400;
    else
        op->refusal = judge(n, &op->spec, op->why);
    /* A known job is answered before anything is found wrong with the rest of the request. */
    bool service = !op->refusal && op->spec.kind == RP_SERVICE;
    op_next(op, op->refusal                                  ? OP_READ_OPEN
                : service && !rp_upgrade_active(&n->upgrade) ? OP_READ_FORMAT
                                                             : OP_WRITE);
}

void rp_api_query(struct rp_node *n, struct rp_request *req, const char *id) {
    struct op *op = op_new(n, req, OP_QUERY);
    if (!op)
        return;
    strcpy(op->id, id);
    if (!op_known_final(op))
        op_next(op, rp_job_lookup_pays(&n->job_lookup) ? OP_LOOK_UP : OP_READ_OPEN);
}

void rp_api_cancel(struct rp_node *n, struct rp_request *req, const char *id) {
    struct op *op = op_new(n, req, OP_CANCEL);
    if (!op)
        return;
    strcpy(op->id, id);
    if (!op_known_final(op))
        op_next(op, OP_READ_OPEN);
}
