#include "controller/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "api/status.h"
#include "base/log.h"
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
static void fill_running_counts(void *arg, struct rp_job_status *status);

int rp_node_init(struct rp_node *node, struct rp_loop *loop, struct rp_net net,
                 const struct rp_settings *settings) {
    memset(node, 0, sizeof *node);
    node->loop = loop;
    node->net = net;
    node->settings = settings;
    rp_kv_client_init(&node->store, loop, net, settings->state_addr, settings->state.rps,
                      settings->state.write_rps, settings->n_nodes,
                      settings->tuning.leader_write_share);
    rp_job_lookup_init(&node->job_lookup, loop, &node->store, settings);
    rp_cloud_client_init(&node->cloud, loop, net, settings->cloud_addr, settings->cloud_rps);
    rp_election_init(&node->election, loop, &node->store, settings->node,
                     settings->tuning.leader_ttl_s, settings->tuning.leader_check_s, on_elected,
                     on_lost, node);
    node->election.fenced_terms = settings->tuning.standby && !settings->tuning.keep_old_forms;
    rp_upgrade_init(&node->upgrade, loop, &node->store, &node->election, settings, on_format, node);
    rp_catalog_source_init(&node->catalog_source, loop, &node->cloud, &node->store, &node->election,
                           &node->upgrade, settings, &node->catalog);
    rp_jobs_init(&node->jobs, loop, &node->store, &node->election, &node->upgrade, settings);
    if (rp_cluster_init(&node->cluster, loop, &node->jobs, settings, &node->catalog) < 0)
        return -1;
    rp_fleet_init(&node->fleet, loop, &node->cloud, &node->store, &node->election, &node->cluster,
                  &node->jobs, settings, &node->catalog);
    rp_image_index_init(&node->image_index, loop, net, &node->election, &node->cluster, settings);
    if (rp_metrics_init(&node->metrics) < 0)
        return -1;
    rp_workers_init(&node->workers, loop, &node->election, &node->cluster, &node->jobs,
                    &node->fleet, settings, &node->metrics, net);
    if (rp_standby_init(&node->standby, loop, net, &node->election, &node->cluster, &node->workers,
                        settings) < 0)
        return -1;
    rp_services_init(&node->services, loop, &node->cluster, &node->jobs, &node->workers,
                     &node->fleet, settings, &node->catalog);
    rp_scheduler_init(&node->scheduler, loop, &node->election, &node->cluster, &node->jobs,
                      &node->fleet, &node->services, settings, &node->metrics);
    node->api = (struct rp_user_api){.loop = loop,
                                     .settings = settings,
                                     .store = &node->store,
                                     .upgrade = &node->upgrade,
                                     .catalog_source = &node->catalog_source,
                                     .cluster = &node->cluster,
                                     .job_lookup = &node->job_lookup,
                                     .terminal_states = &node->terminal_states,
                                     .metrics = &node->metrics,
                                     .fill_running_counts = fill_running_counts,
                                     .arg = node};
    node->jobs.on_loaded = on_loaded;
    node->jobs.on_closed = on_closed;
    node->jobs.on_changed = on_room;
    node->jobs.arg = node;
    node->fleet.on_loaded = on_fleet_loaded;
    node->fleet.on_loaded_arg = node;
    node->fleet.context.on_changed = on_room;
    node->fleet.context.on_changed_arg = node;
    node->workers.on_capacity_freed = on_report_news;
    node->workers.arg = node;
    node->catalog_source.on_known = on_catalog;
    node->catalog_source.arg = node;
    node->summary_timer = (struct rp_timer){.fn = summary_due, .arg = node};
    node->retry_timer = (struct rp_timer){.fn = retry_due, .arg = node};
    node->capacity_timer = (struct rp_timer){.fn = room_due, .arg = node};
    node->health_timer = (struct rp_timer){.fn = health_due, .arg = node};
    return 0;
}

void rp_node_start(struct rp_node *node) {
    rp_catalog_source_start(&node->catalog_source);
    rp_upgrade_start(&node->upgrade);
    rp_image_index_start(&node->image_index);
    rp_standby_start(&node->standby);
    rp_timer_set(node->loop, &node->summary_timer, SUMMARY_S);
    rp_timer_set(node->loop, &node->health_timer, HEALTH_S);
}

void rp_node_close(struct rp_node *node) {
    rp_workers_close(&node->workers);
    rp_standby_close(&node->standby);
    rp_fleet_close(&node->fleet);
    rp_cluster_free(&node->cluster);
    rp_jobs_clear(&node->jobs);
    rp_scheduler_stop(&node->scheduler);
    rp_services_stop(&node->services);
    rp_election_stop(&node->election);
    rp_upgrade_stop(&node->upgrade);
    rp_image_index_close(&node->image_index);
    rp_catalog_source_close(&node->catalog_source);
    rp_timer_cancel(node->loop, &node->summary_timer);
    rp_timer_cancel(node->loop, &node->retry_timer);
    rp_timer_cancel(node->loop, &node->capacity_timer);
    rp_timer_cancel(node->loop, &node->health_timer);
    rp_job_lookup_close(&node->job_lookup);
    rp_kv_client_close(&node->store);
    rp_cloud_client_close(&node->cloud);
    rp_metrics_free(&node->metrics);
    free(node->summary);
}

void rp_node_leave(struct rp_node *node) {
    node->leaving = true;
    rp_election_resign(&node->election, 3600);
}

/* ---- what has to be known before a node may lead ---- */

/* It leads once it knows the machine types, and that no later version's format is active. Until
 * every node knows this version's, it looks more often who leads: so that a free key rather comes
 * to a node that won't be replaced. */
static void may_lead(struct rp_node *node) {
    if (!node->catalog_source.known || !node->upgrade.activation_read || node->electing ||
        node->upgrade.state == RP_UPGRADE_TOO_OLD)
        return;
    node->electing = true;
    rp_election_start(&node->election);
}

static void on_format(void *arg) {
    struct rp_node *node = arg;
    const struct rp_settings *settings = node->settings;
    if (node->upgrade.state == RP_UPGRADE_TOO_OLD) {
        rp_election_resign(&node->election, 3600);
        rp_election_stop(&node->election);
    } else if (rp_upgrade_is_active(&node->upgrade)) {
        node->election.check_s = settings->tuning.leader_check_s;
        /* Other limits may come at any moment from now on. */
        rp_kv_client_set_limits(&node->store, settings->state_fit.rps,
                                settings->state_fit.write_rps);
        if (node->state == RP_NODE_LEADING)
            rp_catalog_source_lead(&node->catalog_source);
    } else if (!settings->tuning.keep_old_forms) {
        node->election.check_s = settings->tuning.leader_check_s * EAGER_SHARE;
    }
    may_lead(node);
}

static void on_catalog(void *arg) {
    may_lead(arg);
}

/* ---- leading ---- */

/* The one place where the node changes its state. */
static void set_state(struct rp_node *node, enum rp_node_state state) {
    node->state = state;
    node->workers.ready = state == RP_NODE_LEADING;
    rp_timer_cancel(node->loop, &node->retry_timer);
    rp_timer_cancel(node->loop, &node->capacity_timer);
    if (state != RP_NODE_LEADING)
        rp_workers_answer_held_heartbeats(&node->workers);
    switch (state) {
    case RP_NODE_FOLLOWING:
        rp_scheduler_stop(&node->scheduler);
        rp_services_stop(&node->services);
        rp_fleet_clear(&node->fleet);
        rp_cluster_reset(&node->cluster, 0);
        rp_jobs_clear(&node->jobs);
        rp_standby_lost(&node->standby);
        break;
    case RP_NODE_RECOVERING:
        rp_scheduler_stop(&node->scheduler);
        rp_services_stop(&node->services);
        rp_fleet_clear(&node->fleet);
        rp_cluster_reset(&node->cluster, node->election.fencing_token);
        rp_standby_elected(&node->standby);
        rp_jobs_load(&node->jobs);
        break;
    case RP_NODE_LEADING:
        rp_info("leading: jobs=%zu machines=%zu", node->jobs.n_jobs, node->cluster.n_machines);
        rp_image_index_lead(&node->image_index);
        rp_standby_lead(&node->standby);
        rp_catalog_source_lead(&node->catalog_source);
        rp_services_start(&node->services);
        rp_scheduler_start(&node->scheduler);
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
    struct rp_node *node = arg;
    if (ok && node->state == RP_NODE_RECOVERING)
        rp_fleet_load(&node->fleet);
    else if (node->state != RP_NODE_FOLLOWING)
        rp_timer_set(node->loop, &node->retry_timer, 0.3);
}

static void on_fleet_loaded(void *arg, bool ok) {
    struct rp_node *node = arg;
    if (ok)
        set_state(node, RP_NODE_LEADING);
    else
        rp_timer_set(node->loop, &node->retry_timer, 0.3);
}

static void retry_due(void *arg) {
    struct rp_node *node = arg;
    if (node->state == RP_NODE_FOLLOWING)
        return;
    if (!rp_election_is_valid(&node->election, rp_loop_now(node->loop)))
        rp_timer_set(node->loop, &node->retry_timer, 0.3);
    else
        set_state(node, RP_NODE_RECOVERING);
}

static void on_closed(void *arg, struct rp_job *job) {
    struct rp_node *node = arg;
    rp_cluster_stop_job(&node->cluster, job, 0);
}

/* How long until the next round that news may call for. Rounds that take long keep a longer
 * distance, and find more to do in one. */
static double until_round_s(const struct rp_node *node) {
    double since = rp_ts_since(rp_loop_now(node->loop), node->scheduler.last_cycle_at);
    double share = fmin(ROUND_SHARE * fmin(1, node->settings->cpu_share), ROUND_MOST);
    return fmax(node->scheduler.last_cycle_s / share, ROUND_GAP_S) - since;
}

static void run_round(struct rp_node *node) {
    rp_timer_cancel(node->loop, &node->capacity_timer);
    rp_scheduler_run_cycle(&node->scheduler);
    rp_workers_send_fenced(&node->workers);
    rp_workers_answer_held_heartbeats(&node->workers);
}

/* Something changed that a round could use. True: there is none to wait for any more. */
static bool on_report_news(void *arg) {
    struct rp_node *node = arg;
    if (node->state != RP_NODE_LEADING)
        return true;
    /* Services don't wait for a round: what has room for them now is known. */
    rp_services_run(&node->services);
    double wait = until_round_s(node);
    if (wait <= 0) {
        run_round(node);
        return true;
    }
    if (!node->capacity_timer.heap_index)
        rp_timer_set(node->loop, &node->capacity_timer, wait);
    return wait > HOLD_MAX_S;
}

static void on_room(void *arg) {
    (void)on_report_news(arg);
}

static void room_due(void *arg) {
    struct rp_node *node = arg;
    if (node->state == RP_NODE_LEADING)
        run_round(node);
}

/* ---- between nodes ---- */

static char *summary_json(const struct rp_node *node) {
    json_t *jobs = json_object();
    for (const struct rp_job *job = node->jobs.first; job; job = job->next)
        if ((job->n_done || job->n_running) && job->state != RP_JOB_CLOSED)
            json_object_set_new(jobs, job->spec.id,
                                json_pack("[i,i]", (int)job->n_done, (int)job->n_running));
    json_t *value = json_pack("{s:s,s:o}", "node", node->settings->node, "jobs", jobs);
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return text;
}

static int by_id(const void *a, const void *b) {
    return strcmp(((const struct rp_job_status *)a)->id, ((const struct rp_job_status *)b)->id);
}

static void summary_came(void *arg, const struct rp_answer *answer) {
    struct rp_node *node = arg;
    json_t *value = answer->status == 200 ? rp_wire_parse(answer->body, answer->len) : NULL;
    json_t *jobs = json_object_get(value, "jobs");
    const char *id;
    json_t *counts;
    /* A refused connection, told at once, doesn't prove that the leader is silent. */
    bool waited = rp_ts_since(rp_loop_now(node->loop), node->summary_asked) > SUMMARY_WAIT_S / 2;
    if (answer->status != 0 || waited)
        rp_election_note_answer(&node->election, answer->status != 0);
    if (!json_is_object(jobs))
        goto out;
    free(node->summary);
    node->n_summary = 0;
    node->summary = calloc(json_object_size(jobs) + 1, sizeof *node->summary);
    if (!node->summary)
        goto out;
    json_object_foreach(jobs, id, counts) {
        struct rp_job_status *status = &node->summary[node->n_summary++];
        snprintf(status->id, sizeof status->id, "%s", id);
        status->done = (uint32_t)json_integer_value(json_array_get(counts, 0));
        status->running = (uint32_t)json_integer_value(json_array_get(counts, 1));
    }
    qsort(node->summary, node->n_summary, sizeof *node->summary, by_id);
out:
    json_decref(value);
}

static void summary_due(void *arg) {
    struct rp_node *node = arg;
    rp_timer_set(node->loop, &node->summary_timer, SUMMARY_S);
    node->summary_asked = rp_loop_now(node->loop);
    for (size_t i = 0; node->state == RP_NODE_FOLLOWING && i < node->settings->n_peers; i++)
        if (strcmp(node->settings->peers[i].name, node->election.leader) == 0)
            node->net.call(node->net.ctx, node->settings->peers[i].addr, "GET", PATH_SUMMARY, NULL,
                           SUMMARY_WAIT_S, summary_came, node);
}

/* The others are better placed: users go there, and what they decide there isn't heard here. */
static void refused_alone(struct rp_node *node) {
    node->refused_until = rp_ts_after(rp_loop_now(node->loop), 4 * HEALTH_S);
    rp_jobs_note_store_refusal(&node->jobs);
}

static void health_came(void *arg, const struct rp_answer *answer) {
    struct rp_node *node = arg;
    if (answer->status == 200)
        node->peer_heard = rp_loop_now(node->loop);
    json_t *value = answer->status == 200 ? rp_wire_parse(answer->body, answer->len) : NULL;
    if (json_is_true(json_object_get(value, "state_answers")) &&
        rp_kv_failing_s(&node->store) > REFUSED_S)
        refused_alone(node);
    json_decref(value);
}

/* An outage of the state service is everybody's: taking this node from the load balancer would help
 * nobody then. But if the others are answered, users are better off with them. */
static void health_due(void *arg) {
    struct rp_node *node = arg;
    rp_timer_set(node->loop, &node->health_timer, HEALTH_S);
    if (rp_kv_failing_s(&node->store) <= REFUSED_S) {
        node->peer_heard = rp_loop_now(node->loop);
        return;
    }
    /* Neither the state service nor any other node answers: it is this node that is cut off. */
    if (node->settings->n_peers > 0 &&
        rp_ts_since(rp_loop_now(node->loop), node->peer_heard) > ALONE_S)
        refused_alone(node);
    for (size_t i = 0; i < node->settings->n_peers; i++)
        node->net.call(node->net.ctx, node->settings->peers[i].addr, "GET", PATH_HEALTH, NULL,
                       HEALTH_S, health_came, node);
}

static void fill_running_counts(void *arg, struct rp_job_status *status) {
    const struct rp_node *node = arg;
    status->phase = RP_JOB_QUEUED;
    status->done = status->running = 0;
    if (node->state == RP_NODE_LEADING) {
        const struct rp_job *job = rp_jobs_find(&node->jobs, status->id);
        if (job) {
            status->done = job->n_done;
            status->running = job->n_running;
        }
    } else if (node->n_summary > 0) {
        const struct rp_job_status *found =
            bsearch(status, node->summary, node->n_summary, sizeof *node->summary, by_id);
        status->done = found ? found->done : 0;
        status->running = found ? found->running : 0;
    }
    if (status->running)
        status->phase = RP_JOB_RUNNING;
}

static char *status_json(const struct rp_node *node) {
    static const char *const states[] = {"following", "recovering", "leading"};
    const struct rp_status_sources sources = {.loop = node->loop,
                                              .settings = node->settings,
                                              .node_state = states[node->state],
                                              .leading = node->state == RP_NODE_LEADING,
                                              .catalog = &node->catalog,
                                              .store = &node->store,
                                              .election = &node->election,
                                              .upgrade = &node->upgrade,
                                              .jobs = &node->jobs,
                                              .cluster = &node->cluster,
                                              .fleet = &node->fleet,
                                              .workers = &node->workers,
                                              .services = &node->services,
                                              .scheduler = &node->scheduler,
                                              .standby = &node->standby,
                                              .metrics = &node->metrics,
                                              .api = &node->api};
    return rp_status_json(&sources);
}

static void respond_text(struct rp_request *req, char *text) {
    req->respond(req, text ? 200 : 503, text ? text : "{}", 0);
    free(text);
}

void rp_node_peer_request(void *arg, struct rp_request *req) {
    struct rp_node *node = arg;
    bool get = strcmp(req->method, "GET") == 0;
    if (get && strcmp(req->target, PATH_SUMMARY) == 0 && node->state == RP_NODE_LEADING)
        respond_text(req, summary_json(node));
    else if (get && strncmp(req->target, RP_PATH_STREAM, strlen(RP_PATH_STREAM)) == 0)
        respond_text(req, rp_standby_answer(&node->standby, req->target));
    else if (get && strcmp(req->target, RP_PATH_IMAGES) == 0)
        respond_text(req, rp_image_index_json(&node->image_index));
    else if (get && strcmp(req->target, PATH_HEALTH) == 0)
        req->respond(req, 200,
                     node->store.n_ok > 0 && rp_kv_failing_s(&node->store) <= 0
                         ? "{\"state_answers\":true,\"version\":\"" RP_VERSION "\"}"
                         : "{\"state_answers\":false,\"version\":\"" RP_VERSION "\"}",
                     0);
    else if (get && strcmp(req->target, PATH_STATUS) == 0)
        respond_text(req, status_json(node));
    else
        req->respond(req, 404, "{\"error\":\"no such path\"}", 0);
}

/* ---- users, workers, health ---- */

bool rp_node_healthy(const struct rp_node *node) {
    return !node->leaving && node->upgrade.state != RP_UPGRADE_TOO_OLD &&
           node->catalog_source.known && node->store.n_ok > 0 &&
           rp_ts_reached(rp_loop_now(node->loop), node->refused_until);
}

static void refuse(struct rp_request *req, int status, const char *text) {
    char *body = rp_wire_error(text);
    req->respond(req, status, body ? body : "{}", 0);
    free(body);
}

static void job_request(struct rp_node *node, struct rp_request *req, const char *rest) {
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
        rp_user_api_cancel(&node->api, req, id);
    else
        rp_user_api_query(&node->api, req, id);
}

void rp_node_client_request(void *arg, struct rp_request *req) {
    struct rp_node *node = arg;
    bool get = strcmp(req->method, "GET") == 0, post = strcmp(req->method, "POST") == 0;
    const char *t = req->target;
    size_t jobs = strlen(RP_PATH_JOBS);
    if (strcmp(t, RP_PATH_HEALTH) == 0) {
        if (get)
            req->respond(req, rp_node_healthy(node) ? 200 : 503, "{}", 0);
        else
            refuse(req, 405, "method not allowed");
    } else if (strcmp(t, RP_PATH_HEARTBEAT) == 0) {
        if (post)
            rp_workers_on_heartbeat(&node->workers, req);
        else
            refuse(req, 405, "method not allowed");
    } else if (strcmp(t, RP_PATH_JOBS) == 0) {
        if (post)
            rp_user_api_submit(&node->api, req);
        else
            refuse(req, 405, "method not allowed");
    } else if (strncmp(t, RP_PATH_JOBS "/", jobs + 1) == 0) {
        job_request(node, req, t + jobs + 1);
    } else {
        refuse(req, 404, "no such path");
    }
}
