#include "controller/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "api/status.h"
#include "protocol/wire.h"

#define SUMMARY_S 2.0
#define SUMMARY_WAIT_S 1.5
#define ROUND_SHARE 0.35 /* of the processor time this node has, for rounds that news call for */
#define ROUND_MOST 0.12  /* of a core: more buys nothing, rounds then only find less to do each */
#define ROUND_GAP_S 0.1  /* rounds that news call for keep this distance */
#define HOLD_MAX_S 0.8   /* a report's answer waits no longer than this for a round */
#define PATH_SUMMARY "/peer/summary"
#define PATH_HEALTH "/peer/health"
#define PATH_STATUS "/status"
#define HEALTH_S 0.5
#define EAGER_SHARE 0.4 /* of the time between looks at who leads, before the activation */
#define ALONE_S 2.5     /* without the state service and without any other node */
#define REFUSED_S 1.0   /* without the state service, before the others are asked how they fare */

static void on_elected(void *arg);
static void on_format(void *arg);
static void on_lost(void *arg);
static void on_loaded(void *arg, bool ok);
static void on_fleet_loaded(void *arg, bool ok);
static void on_closed(void *arg, struct rp_job *job);
static void on_room(void *arg);
static bool on_report_news(void *arg);
static void room_due(void *arg);
static void retry_due(void *arg);
static void on_catalog(void *arg);
static void summary_due(void *arg);
static void health_due(void *arg);

int rp_node_init(struct rp_node *n, struct rp_loop *loop, struct rp_net net,
                 const struct rp_settings *s) {
    memset(n, 0, sizeof *n);
    n->loop = loop;
    n->net = net;
    n->settings = s;
    rp_state_client_init(&n->state, loop, net, s->state_addr, s->state.rps, s->state.write_rps,
                         s->n_nodes, s->tuning.leader_write_share);
    rp_job_lookup_init(&n->job_lookup, loop, &n->state, s);
    rp_cloud_client_init(&n->cloud, loop, net, s->cloud_addr, s->cloud_rps);
    rp_election_init(&n->election, loop, &n->state, s->node, s->tuning.leader_ttl_s,
                     s->tuning.leader_check_s, on_elected, on_lost, n);
    n->election.fenced_terms = s->tuning.standby && !s->tuning.keep_old_forms;
    rp_upgrade_init(&n->upgrade, loop, &n->state, &n->election, s, on_format, n);
    rp_catalog_source_init(&n->catalog_source, loop, &n->cloud, &n->state, &n->election,
                           &n->upgrade, s, &n->catalog);
    rp_jobs_init(&n->jobs, loop, &n->state, &n->election, &n->upgrade, s);
    if (rp_cluster_init(&n->cluster, loop, &n->jobs, s, &n->catalog) < 0)
        return -1;
    rp_fleet_init(&n->fleet, loop, &n->cloud, &n->state, &n->election, &n->cluster, &n->jobs, s,
                  &n->catalog);
    rp_image_index_init(&n->image_index, loop, net, &n->election, &n->cluster, s);
    if (rp_metrics_init(&n->metrics) < 0)
        return -1;
    rp_workers_init(&n->workers, loop, &n->election, &n->cluster, &n->jobs, &n->fleet, s,
                    &n->metrics, net);
    if (rp_standby_init(&n->standby, loop, net, &n->election, &n->cluster, &n->workers, s) < 0)
        return -1;
    rp_services_init(&n->services, loop, &n->cluster, &n->jobs, &n->workers, &n->fleet, s,
                     &n->catalog);
    rp_round_init(&n->round, loop, &n->election, &n->cluster, &n->jobs, &n->fleet, &n->services, s,
                  &n->metrics);
    n->jobs.on_loaded = on_loaded;
    n->jobs.on_closed = on_closed;
    n->jobs.on_changed = on_room;
    n->jobs.arg = n;
    n->fleet.on_loaded = on_fleet_loaded;
    n->fleet.on_changed = on_room;
    n->fleet.arg = n;
    n->workers.on_room = on_report_news;
    n->workers.arg = n;
    n->catalog_source.on_known = on_catalog;
    n->catalog_source.arg = n;
    n->summary_timer = (struct rp_timer){.fn = summary_due, .arg = n};
    n->retry_timer = (struct rp_timer){.fn = retry_due, .arg = n};
    n->room_timer = (struct rp_timer){.fn = room_due, .arg = n};
    n->health_timer = (struct rp_timer){.fn = health_due, .arg = n};
    return 0;
}

void rp_node_start(struct rp_node *n) {
    rp_catalog_source_start(&n->catalog_source);
    rp_upgrade_start(&n->upgrade);
    rp_image_index_start(&n->image_index);
    rp_standby_start(&n->standby);
    rp_timer_set(n->loop, &n->summary_timer, SUMMARY_S);
    rp_timer_set(n->loop, &n->health_timer, HEALTH_S);
}

void rp_node_close(struct rp_node *n) {
    rp_workers_close(&n->workers);
    rp_standby_close(&n->standby);
    rp_fleet_close(&n->fleet);
    rp_cluster_free(&n->cluster);
    rp_jobs_clear(&n->jobs);
    rp_round_stop(&n->round);
    rp_services_stop(&n->services);
    rp_election_stop(&n->election);
    rp_upgrade_stop(&n->upgrade);
    rp_image_index_close(&n->image_index);
    rp_catalog_source_close(&n->catalog_source);
    rp_timer_cancel(n->loop, &n->summary_timer);
    rp_timer_cancel(n->loop, &n->retry_timer);
    rp_timer_cancel(n->loop, &n->room_timer);
    rp_timer_cancel(n->loop, &n->health_timer);
    rp_job_lookup_close(&n->job_lookup);
    rp_state_client_close(&n->state);
    rp_cloud_client_close(&n->cloud);
    rp_metrics_free(&n->metrics);
    free(n->summary);
}

void rp_node_leave(struct rp_node *n) {
    n->leaving = true;
    rp_election_resign(&n->election, 3600);
}

/* ---- what has to be known before a node may lead ---- */

/* It leads once it knows the machine types, and that no later version's format is active. Until
 * every node knows this version's, it looks more often who leads: so that a free key rather comes
 * to a node that won't be replaced. */
static void may_lead(struct rp_node *n) {
    if (!n->catalog_source.known || !n->upgrade.looked || n->electing ||
        n->upgrade.at == RP_UPGRADE_TOO_OLD)
        return;
    n->electing = true;
    rp_election_start(&n->election);
}

static void on_format(void *arg) {
    struct rp_node *n = arg;
    const struct rp_settings *s = n->settings;
    if (n->upgrade.at == RP_UPGRADE_TOO_OLD) {
        rp_election_resign(&n->election, 3600);
        rp_election_stop(&n->election);
    } else if (rp_upgrade_active(&n->upgrade)) {
        n->election.check_s = s->tuning.leader_check_s;
        /* Other limits may come at any moment from now on. */
        rp_state_client_limits(&n->state, s->state_fit.rps, s->state_fit.write_rps);
        if (n->at == RP_NODE_LEADING)
            rp_catalog_source_lead(&n->catalog_source);
    } else if (!s->tuning.keep_old_forms) {
        n->election.check_s = s->tuning.leader_check_s * EAGER_SHARE;
    }
    may_lead(n);
}

static void on_catalog(void *arg) {
    may_lead(arg);
}

/* ---- leading ---- */

/* The one place where the node changes its state. */
static void set_state(struct rp_node *n, enum rp_node_state at) {
    n->at = at;
    n->workers.ready = at == RP_NODE_LEADING;
    rp_timer_cancel(n->loop, &n->retry_timer);
    rp_timer_cancel(n->loop, &n->room_timer);
    if (at != RP_NODE_LEADING)
        rp_workers_answer_held(&n->workers);
    switch (at) {
    case RP_NODE_FOLLOWING:
        rp_round_stop(&n->round);
        rp_services_stop(&n->services);
        rp_fleet_clear(&n->fleet);
        rp_cluster_reset(&n->cluster, 0);
        rp_jobs_clear(&n->jobs);
        rp_standby_lost(&n->standby);
        break;
    case RP_NODE_RECOVERING:
        rp_round_stop(&n->round);
        rp_services_stop(&n->services);
        rp_fleet_clear(&n->fleet);
        rp_cluster_reset(&n->cluster, n->election.token);
        rp_standby_elected(&n->standby);
        rp_jobs_load(&n->jobs);
        break;
    case RP_NODE_LEADING:
        rp_info("leading: jobs=%zu machines=%zu", n->jobs.n_jobs, n->cluster.n_machines);
        rp_image_index_lead(&n->image_index);
        rp_standby_lead(&n->standby);
        rp_catalog_source_lead(&n->catalog_source);
        rp_services_start(&n->services);
        rp_round_start(&n->round);
        break;
    }
}

static void on_elected(void *arg) {
    set_state(arg, RP_NODE_RECOVERING);
}

static void on_lost(void *arg) {
    set_state(arg, RP_NODE_FOLLOWING);
}

static void on_loaded(void *arg, bool ok) {
    struct rp_node *n = arg;
    if (ok && n->at == RP_NODE_RECOVERING)
        rp_fleet_load(&n->fleet);
    else if (n->at != RP_NODE_FOLLOWING)
        rp_timer_set(n->loop, &n->retry_timer, 0.3);
}

static void on_fleet_loaded(void *arg, bool ok) {
    struct rp_node *n = arg;
    if (ok)
        set_state(n, RP_NODE_LEADING);
    else
        rp_timer_set(n->loop, &n->retry_timer, 0.3);
}

static void retry_due(void *arg) {
    struct rp_node *n = arg;
    if (n->at == RP_NODE_FOLLOWING)
        return;
    if (!rp_election_valid(&n->election, rp_loop_now(n->loop)))
        rp_timer_set(n->loop, &n->retry_timer, 0.3);
    else
        set_state(n, RP_NODE_RECOVERING);
}

static void on_closed(void *arg, struct rp_job *job) {
    struct rp_node *n = arg;
    rp_cluster_stop_job(&n->cluster, job, 0);
}

/* How long until the next round that news may call for. Rounds that take long keep a longer
 * distance, and find more to do in one. */
static double until_round_s(const struct rp_node *n) {
    double since = rp_ts_since(rp_loop_now(n->loop), n->round.last);
    double share = fmin(ROUND_SHARE * fmin(1, n->settings->cpu_share), ROUND_MOST);
    return fmax(n->round.took_s / share, ROUND_GAP_S) - since;
}

static void run_round(struct rp_node *n) {
    rp_timer_cancel(n->loop, &n->room_timer);
    rp_round_run(&n->round);
    rp_workers_send_fenced(&n->workers);
    rp_workers_answer_held(&n->workers);
}

/* Something changed that a round could use. True: there is none to wait for any more. */
static bool on_report_news(void *arg) {
    struct rp_node *n = arg;
    if (n->at != RP_NODE_LEADING)
        return true;
    /* Services don't wait for a round: what has room for them now is known. */
    rp_services_run(&n->services);
    double wait = until_round_s(n);
    if (wait <= 0) {
        run_round(n);
        return true;
    }
    if (!n->room_timer.heap_index)
        rp_timer_set(n->loop, &n->room_timer, wait);
    return wait > HOLD_MAX_S;
}

static void on_room(void *arg) {
    (void)on_report_news(arg);
}

static void room_due(void *arg) {
    struct rp_node *n = arg;
    if (n->at == RP_NODE_LEADING)
        run_round(n);
}

/* ---- between nodes ---- */

static char *summary_json(const struct rp_node *n) {
    json_t *jobs = json_object();
    for (const struct rp_job *job = n->jobs.first; job; job = job->next)
        if ((job->n_done || job->n_running) && job->state != RP_JOB_CLOSED)
            json_object_set_new(jobs, job->spec.id,
                                json_pack("[i,i]", (int)job->n_done, (int)job->n_running));
    json_t *v = json_pack("{s:s,s:o}", "node", n->settings->node, "jobs", jobs);
    char *text = json_dumps(v, JSON_COMPACT);
    json_decref(v);
    return text;
}

static int by_id(const void *a, const void *b) {
    return strcmp(((const struct rp_job_status *)a)->id, ((const struct rp_job_status *)b)->id);
}

static void summary_came(void *arg, const struct rp_answer *answer) {
    struct rp_node *n = arg;
    json_t *v = answer->status == 200 ? rp_wire_parse(answer->body, answer->len) : NULL;
    json_t *jobs = json_object_get(v, "jobs");
    const char *id;
    json_t *counts;
    /* A refused connection, told at once, doesn't prove that the leader is silent. */
    bool waited = rp_ts_since(rp_loop_now(n->loop), n->summary_asked) > SUMMARY_WAIT_S / 2;
    if (answer->status != 0 || waited)
        rp_election_note_answer(&n->election, answer->status != 0);
    if (!json_is_object(jobs))
        goto out;
    free(n->summary);
    n->n_summary = 0;
    n->summary = calloc(json_object_size(jobs) + 1, sizeof *n->summary);
    if (!n->summary)
        goto out;
    json_object_foreach(jobs, id, counts) {
        struct rp_job_status *st = &n->summary[n->n_summary++];
        snprintf(st->id, sizeof st->id, "%s", id);
        st->done = (uint32_t)json_integer_value(json_array_get(counts, 0));
        st->running = (uint32_t)json_integer_value(json_array_get(counts, 1));
    }
    qsort(n->summary, n->n_summary, sizeof *n->summary, by_id);
out:
    json_decref(v);
}

static void summary_due(void *arg) {
    struct rp_node *n = arg;
    rp_timer_set(n->loop, &n->summary_timer, SUMMARY_S);
    n->summary_asked = rp_loop_now(n->loop);
    for (size_t i = 0; n->at == RP_NODE_FOLLOWING && i < n->settings->n_peers; i++)
        if (strcmp(n->settings->peers[i].name, n->election.leader) == 0)
            n->net.call(n->net.ctx, n->settings->peers[i].addr, "GET", PATH_SUMMARY, NULL,
                        SUMMARY_WAIT_S, summary_came, n);
}

/* The others are better placed: users go there, and what they decide there isn't heard here. */
static void refused_alone(struct rp_node *n) {
    n->refused_until = rp_ts_after(rp_loop_now(n->loop), 4 * HEALTH_S);
    rp_jobs_note_refused(&n->jobs);
}

static void health_came(void *arg, const struct rp_answer *answer) {
    struct rp_node *n = arg;
    if (answer->status == 200)
        n->peer_heard = rp_loop_now(n->loop);
    json_t *v = answer->status == 200 ? rp_wire_parse(answer->body, answer->len) : NULL;
    if (json_is_true(json_object_get(v, "state_answers")) &&
        rp_state_failing_s(&n->state) > REFUSED_S)
        refused_alone(n);
    json_decref(v);
}

/* An outage of the state service is everybody's: taking this node from the load balancer would help
 * nobody then. But if the others are answered, users are better off with them. */
static void health_due(void *arg) {
    struct rp_node *n = arg;
    rp_timer_set(n->loop, &n->health_timer, HEALTH_S);
    if (rp_state_failing_s(&n->state) <= REFUSED_S) {
        n->peer_heard = rp_loop_now(n->loop);
        return;
    }
    /* Neither the state service nor any other node answers: it is this node that is cut off. */
    if (n->settings->n_peers > 0 && rp_ts_since(rp_loop_now(n->loop), n->peer_heard) > ALONE_S)
        refused_alone(n);
    for (size_t i = 0; i < n->settings->n_peers; i++)
        n->net.call(n->net.ctx, n->settings->peers[i].addr, "GET", PATH_HEALTH, NULL, HEALTH_S,
                    health_came, n);
}

void rp_node_display(const struct rp_node *n, struct rp_job_status *status) {
    status->word = RP_JOB_QUEUED;
    status->done = status->running = 0;
    if (n->at == RP_NODE_LEADING) {
        const struct rp_job *job = rp_jobs_find(&n->jobs, status->id);
        if (job) {
            status->done = job->n_done;
            status->running = job->n_running;
        }
    } else if (n->n_summary > 0) {
        const struct rp_job_status *found =
            bsearch(status, n->summary, n->n_summary, sizeof *n->summary, by_id);
        status->done = found ? found->done : 0;
        status->running = found ? found->running : 0;
    }
    if (status->running)
        status->word = RP_JOB_RUNNING;
}

static void respond_text(struct rp_request *req, char *text) {
    req->respond(req, text ? 200 : 503, text ? text : "{}", 0);
    free(text);
}

void rp_node_peer_request(void *arg, struct rp_request *req) {
    struct rp_node *n = arg;
    bool get = strcmp(req->method, "GET") == 0;
    if (get && strcmp(req->target, PATH_SUMMARY) == 0 && n->at == RP_NODE_LEADING)
        respond_text(req, summary_json(n));
    else if (get && strncmp(req->target, RP_PATH_STREAM, strlen(RP_PATH_STREAM)) == 0)
        respond_text(req, rp_standby_answer(&n->standby, req->target));
    else if (get && strcmp(req->target, RP_PATH_IMAGES) == 0)
        respond_text(req, rp_image_index_json(&n->image_index));
    else if (get && strcmp(req->target, PATH_HEALTH) == 0)
        req->respond(req, 200,
                     n->state.n_ok > 0 && rp_state_failing_s(&n->state) <= 0
                         ? "{\"state_answers\":true,\"version\":\"" RP_VERSION "\"}"
                         : "{\"state_answers\":false,\"version\":\"" RP_VERSION "\"}",
                     0);
    else if (get && strcmp(req->target, PATH_STATUS) == 0)
        respond_text(req, rp_status_json(n));
    else
        req->respond(req, 404, "{\"error\":\"no such path\"}", 0);
}

/* ---- users, workers, health ---- */

bool rp_node_healthy(const struct rp_node *n) {
    return !n->leaving && n->upgrade.at != RP_UPGRADE_TOO_OLD && n->catalog_source.known &&
           n->state.n_ok > 0 && rp_ts_reached(rp_loop_now(n->loop), n->refused_until);
}

static void refuse(struct rp_request *req, int status, const char *text) {
    char *body = rp_wire_error(text);
    req->respond(req, status, body ? body : "{}", 0);
    free(body);
}

static void job_request(struct rp_node *n, struct rp_request *req, const char *rest) {
    char id[RP_ID_MAX];
    const char *slash = strchr(rest, '/');
    size_t len = slash ? (size_t)(slash - rest) : strlen(rest);
    bool get = strcmp(req->method, "GET") == 0, post = strcmp(req->method, "POST") == 0;
    bool cancel = slash && strcmp(slash, "/cancel") == 0;
    if (slash && !cancel) {
        refuse(req, 404, "no such path");
        return;
    }
    if ((cancel && !post) || (!cancel && !get)) {
        refuse(req, 405, "method not allowed");
        return;
    }
    if (len >= sizeof id) {
        refuse(req, 404, "no such job");
        return;
    }
    memcpy(id, rest, len);
    id[len] = '\0';
    if (!rp_wire_id_valid(id))
        refuse(req, 404, "no such job");
    else if (cancel)
        rp_api_cancel(n, req, id);
    else
        rp_api_query(n, req, id);
}

void rp_node_client_request(void *arg, struct rp_request *req) {
    struct rp_node *n = arg;
    bool get = strcmp(req->method, "GET") == 0, post = strcmp(req->method, "POST") == 0;
    const char *t = req->target;
    size_t jobs = strlen(RP_PATH_JOBS);
    if (strcmp(t, RP_PATH_HEALTH) == 0) {
        if (get)
            req->respond(req, rp_node_healthy(n) ? 200 : 503, "{}", 0);
        else
            refuse(req, 405, "method not allowed");
    } else if (strcmp(t, RP_PATH_REPORT) == 0) {
        if (post)
            rp_workers_report(&n->workers, req);
        else
            refuse(req, 405, "method not allowed");
    } else if (strcmp(t, RP_PATH_JOBS) == 0) {
        if (post)
            rp_api_submit(n, req);
        else
            refuse(req, 405, "method not allowed");
    } else if (strncmp(t, RP_PATH_JOBS "/", jobs + 1) == 0) {
        job_request(n, req, t + jobs + 1);
    } else {
        refuse(req, 404, "no such path");
    }
}
