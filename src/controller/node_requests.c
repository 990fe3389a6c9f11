#include "controller/node_requests.h"

#include <stdlib.h>
#include <string.h>
#include "api/response_status.h"
#include "api/status.h"
#include "controller/node.h"
#include "protocol/codec.h"
#include "protocol/job_codec.h"
#include "protocol/user_codec.h"
#include "protocol/worker_codec.h"

#define PATH_STATUS "/status"
#define PATH_CANCEL "/cancel" /* suffix of a job's path in a request that cancels the job */

static bool is_get(const struct rp_request *req) {
    return strcmp(req->method, "GET") == 0;
}

static bool is_post(const struct rp_request *req) {
    return strcmp(req->method, "POST") == 0;
}

static bool has_prefix(const char *text, const char *prefix) {
    return strncmp(text, prefix, strlen(prefix)) == 0;
}

static void refuse(struct rp_request *req, enum rp_response_status status, const char *text) {
    char *body = rp_codec_write_error(text);
    req->respond(req, status, body ? body : "{}", 0);
    free(body);
}

static void refuse_path(struct rp_request *req) {
    refuse(req, RP_RESPONSE_NOT_FOUND, "no such path");
}

static void refuse_method(struct rp_request *req) {
    refuse(req, RP_RESPONSE_METHOD_NOT_ALLOWED, "method not allowed");
}

/* ---- the peers' port ---- */

/* Answers with `json` and frees it. NULL, when out of memory, is answered as unavailable. */
static void respond_json(struct rp_request *req, char *json) {
    req->respond(req, json ? RP_RESPONSE_OK : RP_RESPONSE_UNAVAILABLE, json ? json : "{}", 0);
    free(json);
}

static char *status_json(const struct rp_node *node) {
    const struct rp_status_sources sources = {.loop = node->loop,
                                              .settings = node->settings,
                                              .node_state = rp_node_state_name(node->state),
                                              .is_leading = node->state == RP_NODE_LEADING,
                                              .catalog = &node->catalog,
                                              .store = &node->store,
                                              .election = &node->election,
                                              .upgrade = &node->upgrade,
                                              .jobs = &node->jobs,
                                              .cluster = &node->cluster,
                                              .fleet = &node->fleet,
                                              .workers = &node->workers,
                                              .phase_probes = &node->phase_probes,
                                              .services = &node->services,
                                              .scheduler = &node->scheduler,
                                              .standby = &node->standby,
                                              .metrics = &node->metrics,
                                              .api = &node->api};
    return rp_status_json(&sources);
}

static void answer_phases_poll(struct rp_node *node, struct rp_request *req, const char *query) {
    if (rp_phase_report_may_report(&node->phase_report))
        respond_json(req, rp_phase_report_answer(&node->phase_report, query));
    else
        refuse(req, RP_RESPONSE_UNAVAILABLE, "not the leader");
}

static void answer_health_check(const struct rp_node *node, struct rp_request *req) {
    req->respond(req, RP_RESPONSE_OK,
                 rp_peer_health_is_store_answering(&node->peer_health)
                     ? "{\"state_answers\":true,\"version\":\"" RP_VERSION "\"}"
                     : "{\"state_answers\":false,\"version\":\"" RP_VERSION "\"}",
                 0);
}

void rp_node_peer_request(void *arg, struct rp_request *req) {
    struct rp_node *node = arg;
    const char *target = req->target;
    if (!is_get(req))
        refuse_path(req);
    else if (has_prefix(target, RP_PATH_PHASES))
        answer_phases_poll(node, req, target + strlen(RP_PATH_PHASES));
    else if (has_prefix(target, RP_PATH_STREAM))
        respond_json(req, rp_standby_answer(&node->standby, target));
    else if (strcmp(target, RP_PATH_IMAGES) == 0)
        respond_json(req, rp_image_index_json(&node->image_index));
    else if (strcmp(target, RP_PATH_PEER_HEALTH) == 0)
        answer_health_check(node, req);
    else if (strcmp(target, PATH_STATUS) == 0)
        respond_json(req, status_json(node));
    else
        refuse_path(req);
}

/* ---- the client port ---- */

static void answer_healthz(struct rp_node *node, struct rp_request *req) {
    if (is_get(req))
        req->respond(req, rp_node_is_healthy(node) ? RP_RESPONSE_OK : RP_RESPONSE_UNAVAILABLE, "{}",
                     0);
    else
        refuse_method(req);
}

static void on_heartbeat(struct rp_node *node, struct rp_request *req) {
    if (is_post(req))
        rp_workers_on_heartbeat(&node->workers, req);
    else
        refuse_method(req);
}

static void on_submission(struct rp_node *node, struct rp_request *req) {
    if (is_post(req))
        rp_user_api_submit(&node->api, req);
    else
        refuse_method(req);
}

/* Copies the id at the beginning of `path`, up to a slash or the end. Returns false when no job can
 * have that id. */
static bool read_job_id(const char *path, char id[RP_ID_MAX]) {
    size_t len = strcspn(path, "/");
    if (len >= RP_ID_MAX)
        return false;
    memcpy(id, path, len);
    id[len] = '\0';
    return rp_job_codec_is_id(id);
}

/* Handles a request about one job. `path` is the part of the request's target after the path of all
 * jobs: ID or ID/cancel. */
static void on_job_request(struct rp_node *node, struct rp_request *req, const char *path) {
    char id[RP_ID_MAX];
    const char *action = strchr(path, '/');
    bool is_cancel = action && strcmp(action, PATH_CANCEL) == 0;
    bool is_allowed = is_cancel ? is_post(req) : is_get(req);
    if (action && !is_cancel)
        refuse_path(req);
    else if (!is_allowed)
        refuse_method(req);
    else if (!read_job_id(path, id))
        refuse(req, RP_RESPONSE_NOT_FOUND, "no such job");
    else if (is_cancel)
        rp_user_api_cancel(&node->api, req, id);
    else
        rp_user_api_query(&node->api, req, id);
}

void rp_node_client_request(void *arg, struct rp_request *req) {
    struct rp_node *node = arg;
    const char *target = req->target;
    if (strcmp(target, RP_PATH_HEALTH) == 0)
        answer_healthz(node, req);
    else if (strcmp(target, RP_PATH_HEARTBEAT) == 0)
        on_heartbeat(node, req);
    else if (strcmp(target, RP_PATH_JOBS) == 0)
        on_submission(node, req);
    else if (has_prefix(target, RP_PATH_JOBS "/"))
        on_job_request(node, req, target + strlen(RP_PATH_JOBS "/"));
    else
        refuse_path(req);
}
