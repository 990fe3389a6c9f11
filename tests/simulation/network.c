/* Simulates the network between nodes, store, cloud, workers and users, with the faults that affect
 * single messages: requests of nodes and their responses, and requests to nodes. */
#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "protocol/json_text.h"
#include "protocol/worker_codec.h"

/* A watch without changes gets its response this long before its time-out. */
#define WATCH_MARGIN_S 1.5
/* Longest time that a watch's response with changes takes. */
#define SLOW_WATCH_MAX_S 0.5
/* Time until the next attempt to deliver a message that cannot be delivered now. */
#define REDELIVERY_INTERVAL_S 0.1
/* Time-out of a request, other than a watch, of a node that is a process. */
#define REMOTE_TIMEOUT_S 60.0
/* Status that a user or a worker gets if no connection to the node could be made. */
#define REFUSED_STATUS 599

void (*sim_observer)(const struct sim_message *message);

double sim_network_delay(struct sim *sim) {
    return 0.0005 + 0.004 * sim_uniform(sim) + (sim_chance(sim, 0.01) ? 0.3 * sim_uniform(sim) : 0);
}

static void observe(const struct sim *sim, struct sim_message message) {
    message.time = sim->now;
    if (sim_observer)
        sim_observer(&message);
}

const char *sim_query_parameter(const char *target, const char *name, char *out, size_t size) {
    const char *from = strstr(target, name);
    size_t n = 0;
    if (from)
        for (from += strlen(name); from[n] && from[n] != '&' && n + 1 < size; n++)
            out[n] = from[n];
    out[n] = '\0';
    return from ? out : NULL;
}

/* ---- requests that reach a node ---- */

struct sim_request {
    struct rp_request req;
    struct sim *sim;
    struct sim_call call; /* method, target and body are no longer valid when the node responds */
    int node;
    double sent_at;
    char *body;
};

/* Passes a node's response to a user or a worker to the observer, without the request's target,
 * which is no longer valid. */
static void observe_answer(const struct sim_request *request, int status, const char *body,
                           int retry_after) {
    static const char *const operations[] = {"submission", "question", "cancellation"};
    const struct sim *sim = request->sim;
    const struct sim_call *call = &request->call;
    char to[128];
    if (call->answer == EV_HEARTBEAT_ANSWER)
        snprintf(to, sizeof to, "%s", sim->workers[call->index].name);
    else if (call->answer == EV_USER_ANSWER)
        snprintf(to, sizeof to, "user:%s:%s", sim->jobs[call->index].spec.id,
                 operations[call->user_op]);
    else
        snprintf(to, sizeof to, "user:odd:%s", operations[call->user_op]);
    observe(sim, (struct sim_message){.from = request->node,
                                      .to = to,
                                      .method = "",
                                      .target = "",
                                      .status = status,
                                      .retry_after = retry_after,
                                      .body = body});
}

static void request_free(struct sim_request *request) {
    free(request->body);
    free(request);
}

static void on_node_answer(struct rp_request *req, int status, const char *body, int retry_after) {
    struct sim_request *request = (struct sim_request *)(void *)req;
    struct sim *sim = request->sim;
    const struct sim_call *call = &request->call;
    bool is_to_worker = call->answer == EV_HEARTBEAT_ANSWER;
    observe_answer(request, status, body, retry_after);
    if (call->heartbeat_number || !is_to_worker) {
        struct sim_event *event = sim_event_new(sim, call->answer, sim_network_delay(sim));
        event->status = status;
        event->body = strdup(body);
        event->index = call->index;
        event->heartbeat_number = call->heartbeat_number;
        event->user_op = call->user_op;
        event->sent_at = request->sent_at;
        event->node = request->node;
        event->is_beside_old_node = sim_has_node_of_old_sources(sim);
        if (sim_chance(sim, sim->faults.drop))
            event->due_at += is_to_worker ? SIM_NEVER : 0;
    }
    request_free(request);
}

/* Receives the response of a node that is a process. A failed connection is reported to the caller
 * at once; a missing response is not reported. */
static void on_remote_answer(void *arg, const struct rp_response *answer) {
    struct sim_request *request = arg;
    if (answer->status || answer->unsent)
        on_node_answer(&request->req, answer->status ? answer->status : REFUSED_STATUS,
                       answer->body, 0);
    else
        request_free(request);
}

void sim_node_receive(struct sim *sim, int index, const struct sim_call *call) {
    struct sim_node *node = &sim->nodes[index];
    if (!sim->remote && (!node->alive || sim->now < node->paused_until))
        return;
    struct sim_request *request = calloc(1, sizeof *request);
    if (!request)
        abort();
    request->sim = sim;
    request->call = *call;
    request->node = index;
    request->sent_at = sim->now;
    request->body = strdup(call->body ? call->body : "");
    request->req = (struct rp_request){.method = call->method,
                                       .target = call->target,
                                       .body = request->body,
                                       .len = strlen(request->body),
                                       .respond = on_node_answer};
    if (sim->remote)
        sim->remote->call(sim->remote->ctx, index, call->method, call->target, request->body,
                          on_remote_answer, request);
    else if (node->old_node)
        sim_old_engine->client(node->old_node, &request->req);
    else
        rp_node_client_request(node->node, &request->req);
}

/* Delivers a heartbeat. The machines of a partitioned zone reach only the node in the partition,
 * and that node receives heartbeats from no other zone. */
void sim_on_heartbeat(struct sim *sim, const struct sim_event *event) {
    struct sim_call call = {.method = "POST",
                            .target = RP_PATH_HEARTBEAT,
                            .body = event->body,
                            .answer = EV_HEARTBEAT_ANSWER,
                            .index = event->index,
                            .heartbeat_number = event->heartbeat_number};
    sim_record_report(sim, event);
    for (int node = 0; node < sim->n_nodes; node++) {
        bool is_addressed = node == event->node || event->held_for_next_leader;
        bool is_inside = sim->node_in_partition == node + 1;
        bool is_from_inside =
            sim->partitioned_zone && sim->partitioned_zone == sim->workers[event->index].zone + 1;
        bool is_reached = sim->node_without_heartbeats != node + 1 && is_inside == is_from_inside;
        if (is_addressed && is_reached)
            sim_node_receive(sim, node, &call);
    }
    sim->n_held_duplicates -= event->held_for_next_leader;
}

/* ---- requests that nodes send ---- */

/* The network interface of a node's process. */
struct sim_connection {
    struct sim *sim;
    int node;
    unsigned long process_number;
};

/* A node's request, with the arguments of the functions in struct rp_net. */
struct sim_outgoing {
    const char *addr, *method, *target, *body;
    double timeout_s;
    rp_response_fn on_answer;
    void *on_answer_arg;
};

static bool is_watch(const char *target) {
    return strncmp(target, "/follow", strlen("/follow")) == 0;
}

static bool is_for_peer(const struct sim_event *event) {
    return strncmp(event->addr, "peer", strlen("peer")) == 0;
}

static struct sim_event *request_event(struct sim *sim, int node,
                                       const struct sim_outgoing *outgoing) {
    struct sim_event *event = sim_event_new(sim, EV_REQUEST, sim_network_delay(sim));
    event->node = node;
    snprintf(event->addr, sizeof event->addr, "%s", outgoing->addr);
    snprintf(event->method, sizeof event->method, "%s", outgoing->method);
    event->target = strdup(outgoing->target);
    event->body = outgoing->body ? strdup(outgoing->body) : NULL;
    event->deadline = sim->now + outgoing->timeout_s;
    event->on_answer = outgoing->on_answer;
    event->on_answer_arg = outgoing->on_answer_arg;
    return event;
}

struct sim_event *sim_request_duplicate(struct sim *sim, const struct sim_event *event,
                                        double after_s) {
    struct sim_event *copy = sim_event_new(sim, EV_REQUEST, after_s);
    copy->node = event->node;
    copy->answered = true;
    strcpy(copy->addr, event->addr);
    strcpy(copy->method, event->method);
    copy->target = strdup(event->target);
    copy->body = event->body ? strdup(event->body) : NULL;
    return copy;
}

/* Sends a node's request; `once`: the caller does not allow it to be executed twice. */
static void send_request(const struct sim_connection *connection, bool once,
                         const struct sim_outgoing *outgoing) {
    struct sim *sim = connection->sim;
    const char *target = outgoing->target;
    observe(sim, (struct sim_message){.from = connection->node,
                                      .to = outgoing->addr,
                                      .method = outgoing->method,
                                      .target = target,
                                      .body = outgoing->body ? outgoing->body : ""});
    struct sim_event *event = request_event(sim, connection->node, outgoing);
    event->process_number = connection->process_number;
    bool watch = is_watch(target);
    bool is_dropped = !watch && sim_chance(sim, sim->faults.drop);
    /* If no connection was made, no duplicate of the request exists. */
    event->unsent = is_dropped && once && sim_chance(sim, 0.5);
    if (!event->unsent && sim_chance(sim, sim->faults.duplicate) &&
        strcmp(outgoing->method, "GET") != 0 && strcmp(target, "/leases") != 0)
        (void)sim_request_duplicate(sim, event, 0.05 + 30 * sim_uniform(sim));
    if (is_for_peer(event))
        event->due_at += sim->peer_delay_s;
    if (strcmp(outgoing->addr, "state") == 0 && !watch && sim_chance(sim, sim->faults.slow_store))
        event->due_at += 0.2 + 1.2 * sim_uniform(sim);
    /* A dropped request is due at its time-out: its caller gets no response, and it is not executed
     * if it is unsent, otherwise with a probability of 0.5. */
    if (is_dropped)
        event->due_at = event->deadline;
    else if (!watch && sim_chance(sim, sim->faults.delay))
        event->due_at = sim->now + outgoing->timeout_s + 30 * sim_uniform(sim);
    else if (strcmp(target, "/txn") == 0)
        sim_inject_transaction_fault(sim, event);
}

static void on_call(void *ctx, const char *addr, const char *method, const char *target,
                    const char *body, double timeout_s, rp_response_fn fn, void *arg) {
    send_request(ctx, false,
                 &(struct sim_outgoing){addr, method, target, body, timeout_s, fn, arg});
}

static void on_call_once(void *ctx, const char *addr, const char *method, const char *target,
                         const char *body, double timeout_s, rp_response_fn fn, void *arg) {
    send_request(ctx, true, &(struct sim_outgoing){addr, method, target, body, timeout_s, fn, arg});
}

struct rp_net sim_network_connect(struct sim *sim, int node, unsigned long process_number) {
    struct sim_connection *connection = calloc(1, sizeof *connection);
    if (!connection)
        abort();
    *connection =
        (struct sim_connection){.sim = sim, .node = node, .process_number = process_number};
    return (struct rp_net){
        .ctx = connection, .call = on_call, .call_on_own_connection = on_call_once};
}

void sim_remote_request(struct sim *sim, const char *addr, const char *method, const char *target,
                        const char *body, rp_response_fn fn, void *arg) {
    double timeout_s = REMOTE_TIMEOUT_S;
    if (is_watch(target)) {
        char hold_ms[32];
        bool is_held = sim_query_parameter(target, "hold_ms=", hold_ms, sizeof hold_ms) != NULL;
        timeout_s = WATCH_MARGIN_S + strtod(is_held ? hold_ms : "0", NULL) / 1000;
    }
    request_event(sim, SIM_REMOTE_NODE,
                  &(struct sim_outgoing){addr, method, target, body, timeout_s, fn, arg});
}

/* ---- requests of nodes that arrive ---- */

static void answer_node(struct sim *sim, struct sim_event *event, int status, json_t *out) {
    const struct sim_node *node = &sim->nodes[event->node];
    char *text = out ? rp_json_write(out) : NULL;
    struct rp_response answer = {.status = status,
                                 .unsent = status == 0 && event->unsent,
                                 .body = text ? text : "",
                                 .len = text ? strlen(text) : 0};
    event->answered = true;
    if (node->alive && node->process_number == event->process_number)
        event->on_answer(event->on_answer_arg, &answer);
    free(text);
}

void sim_time_out(struct sim *sim, struct sim_event *event) {
    if (!event->answered)
        answer_node(sim, event, 0, NULL);
}

/* A request from one node to another. The node responds during the call, hence the request and its
 * response are kept on the stack. */
struct peer_request {
    struct rp_request req;
    const struct sim *sim;
    int from, to;
    int status;
    json_t *body;
};

static void on_peer_answer(struct rp_request *req, int status, const char *body, int retry_after) {
    struct peer_request *request = (struct peer_request *)(void *)req;
    char to[32];
    snprintf(to, sizeof to, "peer%d", request->to);
    observe(request->sim, (struct sim_message){.from = request->from,
                                               .to = to,
                                               .method = req->method,
                                               .target = req->target,
                                               .status = status,
                                               .retry_after = retry_after,
                                               .body = body});
    request->status = status;
    request->body = body ? rp_json_parse(body, strlen(body)) : NULL;
}

static int peer_index(const struct sim_event *event) {
    return event->addr[strlen("peer")] - '0';
}

static int execute_at_peer(struct sim *sim, const struct sim_event *event, json_t **out) {
    int index = peer_index(event);
    const struct sim_node *node = &sim->nodes[index];
    struct peer_request request = {.req = {.method = event->method,
                                           .target = event->target,
                                           .body = "",
                                           .respond = on_peer_answer},
                                   .sim = sim,
                                   .from = index,
                                   .to = event->node};
    if (!node->alive || sim->now < node->paused_until || sim->now < sim->peer_partition_until)
        return 0;
    if (node->old_node)
        sim_old_engine->peer(node->old_node, &request.req);
    else
        rp_node_peer_request(node->node, &request.req);
    *out = request.body;
    return request.status;
}

/* Whether the node that receives the request is paused: it neither responds nor refuses the
 * connection. */
static bool is_paused_peer(const struct sim *sim, const struct sim_event *event) {
    return is_for_peer(event) && sim->now < sim->nodes[peer_index(event)].paused_until;
}

static bool is_for_worker(const struct sim_event *event) {
    return strncmp(event->addr, "vm-", strlen("vm-")) == 0;
}

/* Whether the request's sender, or the node that receives it, is partitioned from the store and the
 * other nodes. A request in transit may still be executed, but its sender gets no response. */
static bool is_partitioned(const struct sim *sim, const struct sim_event *event) {
    return sim->now < sim->nodes[event->node].partitioned_until ||
           (is_for_peer(event) && sim->now < sim->nodes[peer_index(event)].partitioned_until);
}

/* Postpones the event to that time; returns false, since the event is not finished. */
static bool defer_until(struct sim_event *event, double due_at) {
    event->due_at = due_at;
    return false;
}

/* The time that a watch's response takes once there are changes. */
static double changes_delay_s(const struct sim *sim) {
    bool is_slow = gsl_rng_uniform(sim->watch_rng) < sim->faults.slow_watch;
    return is_slow ? SLOW_WATCH_MAX_S * gsl_rng_uniform(sim->watch_rng) : 0;
}

/* Responds to a watch if there are changes, the store refuses the node or the time-out is near;
 * defers the event by a step otherwise. */
static bool answer_watch(struct sim *sim, struct sim_event *event) {
    json_t *out = sim_store_is_refusing(sim, event->node) ? NULL : sim_store_changes(sim, event);
    bool has_changes = out && json_array_size(json_object_get(out, "log"));
    if (has_changes && event->changes_due_at <= 0)
        event->changes_due_at = sim->now + changes_delay_s(sim);
    bool is_due = has_changes && sim->now >= event->changes_due_at;
    if (sim->now < event->deadline - WATCH_MARGIN_S && !is_due) {
        json_decref(out);
        return defer_until(event, sim->now + SIM_STEP_S);
    }
    answer_node(sim, event, out ? 200 : 503, out);
    json_decref(out);
    return true;
}

static void execute_request(struct sim *sim, struct sim_event *event) {
    json_t *out = NULL;
    json_t *body = event->body ? rp_json_parse(event->body, strlen(event->body)) : NULL;
    int status;
    if (strcmp(event->addr, "state") == 0)
        status = sim_store_request(sim, event, body, &out);
    else if (strcmp(event->addr, "cloud") == 0)
        status = sim_cloud_request(sim, event, body, &out);
    else if (is_for_worker(event))
        status = sim_worker_request(sim, event, body, &out);
    else
        status = execute_at_peer(sim, event, &out);
    if (!event->answered) {
        event->unsent = false;
        if (sim_chance(sim, sim->faults.drop))
            sim_time_out(sim, event);
        else
            answer_node(sim, event, status, out);
    }
    json_decref(out);
    json_decref(body);
}

bool sim_on_request(struct sim *sim, struct sim_event *event) {
    const struct sim_node *caller = &sim->nodes[event->node];
    bool is_awaited = !event->answered;
    /* A paused node receives no response. */
    if (is_awaited && caller->alive && sim->now < caller->paused_until)
        return defer_until(event, sim->now + REDELIVERY_INTERVAL_S);
    if (is_watch(event->target) && !is_awaited)
        return true;
    /* The caller, a node that was paused, has got its time-out meanwhile. A request that was not
     * sent is never executed: a connection attempt that was given up does not complete later
     * (PROTOCOL, "Delayed messages"). */
    if (event->unsent && !is_awaited)
        return true;
    bool is_late = is_awaited && sim->now >= event->deadline;
    if (is_awaited && !is_late && is_paused_peer(sim, event))
        return defer_until(event, event->deadline);
    if (is_awaited && strcmp(event->addr, "cloud") != 0 && is_partitioned(sim, event))
        return defer_until(event, event->deadline + SIM_STEP_S); /* the caller gets a time-out */
    if (is_watch(event->target))
        return answer_watch(sim, event);
    bool is_for_cloud = strcmp(event->addr, "cloud") == 0;
    if (is_for_cloud && is_awaited && !is_late && sim->is_cloud_silent &&
        sim->now < sim->cloud_outage_until)
        return defer_until(event, event->deadline + SIM_STEP_S);
    if (is_late && (event->unsent || sim_chance(sim, 0.5))) {
        sim_time_out(sim, event);
        return true;
    }
    if (is_late)
        sim_time_out(sim, event);
    if (is_for_worker(event) && sim_worker_is_paused(sim, event)) /* executed when it resumes */
        return defer_until(event, sim->now + REDELIVERY_INTERVAL_S);
    execute_request(sim, event);
    return true;
}
