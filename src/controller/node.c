#include "controller/node.h"

#include <inttypes.h>
#include <string.h>
#include "base/log.h"

/* The interval between two reads of the leader's key while this version's record format is not yet
 * active, as a share of leader_check_s. */
#define UPGRADE_CHECK_SHARE 0.4
/* Seconds before the stored records are read again after a failure: far shorter than any lease, and
 * long enough not to exhaust the store's request budget. */
#define RECOVERY_RETRY_S 0.3
/* Seconds for which a node that resigns permanently does not claim the leader's key: longer than
 * any process takes to end. */
#define RESIGN_BACKOFF_S 3600

/* ---- leadership: record format, machine types, elections ---- */

/* A node joins the elections once it has the machine types and has read that no later version's
 * record format is active. */
static void join_elections(struct rp_node *node) {
    bool is_ready = node->catalog_source.is_known && node->upgrade.has_read_activation;
    if (!is_ready || node->has_joined_elections || node->upgrade.state == RP_UPGRADE_TOO_OLD)
        return;
    node->has_joined_elections = true;
    rp_election_start(&node->election);
}

/* Called when a later version's record format is active: this version cannot read records in that
 * format. */
static void leave_elections(struct rp_node *node) {
    rp_election_resign(&node->election, RESIGN_BACKOFF_S);
    rp_election_stop(&node->election);
}

static void on_format_active(struct rp_node *node) {
    const struct rp_settings *settings = node->settings;
    node->election.check_s = settings->tuning.leader_check_s;
    /* From now on the store's next limits may take effect at any moment. */
    rp_kv_client_set_limits(&node->store, settings->kv_limits_lowest.rps,
                            settings->kv_limits_lowest.write_rps);
    if (node->state == RP_NODE_LEADING)
        rp_catalog_source_store(&node->catalog_source);
}

static void on_format_change(void *arg) {
    struct rp_node *node = arg;
    const struct rp_tuning *tuning = &node->settings->tuning;
    if (node->upgrade.state == RP_UPGRADE_TOO_OLD)
        leave_elections(node);
    else if (rp_upgrade_is_active(&node->upgrade))
        on_format_active(node);
    else if (!tuning->keep_old_forms)
        /* Until all nodes support this version's record format, the nodes that support it read the
         * leader's key at shorter intervals than the others, so that a free key is more likely to
         * be claimed by a node that will not be replaced. */
        node->election.check_s = tuning->leader_check_s * UPGRADE_CHECK_SHARE;
    join_elections(node);
}

static void on_catalog_known(void *arg) {
    join_elections(arg);
}

/* ---- the state machine ---- */

static void stop_scheduling(struct rp_node *node) {
    rp_phase_probes_stop(&node->phase_probes);
    rp_scheduler_stop(&node->scheduler);
    rp_service_controller_stop(&node->services);
}

/* Empties the cluster state: nothing of an earlier term may remain when the records are read. */
static void enter_following(struct rp_node *node) {
    stop_scheduling(node);
    rp_fleet_clear(&node->fleet);
    rp_cluster_reset(&node->cluster, 0);
    rp_jobs_clear(&node->jobs);
    rp_standby_on_leadership_lost(&node->standby);
}

/* Reads the stored records, jobs first; on_jobs_loaded continues with the machines. rp_jobs_load
 * empties the job table itself. */
static void enter_recovering(struct rp_node *node) {
    stop_scheduling(node);
    rp_fleet_clear(&node->fleet);
    rp_cluster_reset(&node->cluster, node->election.fencing_token);
    rp_standby_on_elected(&node->standby);
    node->recovery_began_at = rp_loop_now(node->loop);
    rp_jobs_load(&node->jobs);
}

static void enter_leading(struct rp_node *node) {
    rp_info("records read, node leads: n_jobs=%zu n_machines=%zu revision=%" PRIu64 " read_s=%.2f",
            node->jobs.table.n_jobs, node->cluster.n_machines, node->jobs.watch.revision,
            rp_ts_since(rp_loop_now(node->loop), node->recovery_began_at));
    rp_image_index_restore(&node->image_index);
    rp_standby_on_leading(&node->standby);
    rp_catalog_source_store(&node->catalog_source);
    rp_service_controller_start(&node->services);
    rp_phase_probes_start(&node->phase_probes);
    rp_scheduler_start(&node->scheduler);
}

/* The only function that changes the node's state. Its edges, each with its cause and its event:
 * - following -> recovering: this node has won the election (on_elected);
 * - recovering -> leading: jobs and machines have been read (on_machines_loaded);
 * - recovering -> recovering: reading has failed, and the node starts over because records may have
 *   changed since (on_recovery_due);
 * - any -> following: leadership was lost or given up (on_leadership_lost).
 * A leader that has to read the records again first gives up its leadership: the election calls
 * on_leadership_lost before on_elected. */
static void set_state(struct rp_node *node, enum rp_node_state state) {
    node->state = state;
    node->workers.is_leading = state == RP_NODE_LEADING;
    rp_timer_cancel(node->loop, &node->recovery_timer);
    rp_cycle_trigger_stop(&node->cycle_trigger);
    if (state != RP_NODE_LEADING)
        rp_workers_answer_pending(&node->workers);
    switch (state) {
    case RP_NODE_FOLLOWING:
        enter_following(node);
        break;
    case RP_NODE_RECOVERING:
        enter_recovering(node);
        break;
    case RP_NODE_LEADING:
        enter_leading(node);
        break;
    }
}

static void on_elected(void *arg) {
    set_state(arg, RP_NODE_RECOVERING);
}

static void on_leadership_lost(void *arg) {
    set_state(arg, RP_NODE_FOLLOWING);
}

static void retry_recovery(struct rp_node *node) {
    rp_timer_set(node->loop, &node->recovery_timer, RECOVERY_RETRY_S);
}

static void on_jobs_loaded(void *arg, bool is_complete) {
    struct rp_node *node = arg;
    if (is_complete && node->state == RP_NODE_RECOVERING)
        rp_fleet_load(&node->fleet);
    else if (node->state != RP_NODE_FOLLOWING)
        retry_recovery(node);
}

static void on_machines_loaded(void *arg, bool is_complete) {
    struct rp_node *node = arg;
    if (is_complete)
        set_state(node, RP_NODE_LEADING);
    else
        retry_recovery(node);
}

static void on_recovery_due(void *arg) {
    struct rp_node *node = arg;
    if (node->state == RP_NODE_FOLLOWING)
        return;
    if (rp_election_is_valid(&node->election, rp_loop_now(node->loop)))
        set_state(node, RP_NODE_RECOVERING);
    else
        retry_recovery(node);
}

/* ---- events of the cluster state ---- */

static void on_job_closed(void *arg, struct rp_job *job) {
    struct rp_node *node = arg;
    rp_cluster_stop_job(&node->cluster, job, 0);
}

static bool on_capacity_freed(void *arg) {
    struct rp_node *node = arg;
    return rp_cycle_trigger_on_capacity_freed(&node->cycle_trigger);
}

/* Does the same as on_capacity_freed, for callers for which no worker waits for an answer. */
static void on_change(void *arg) {
    (void)on_capacity_freed(arg);
}

/* ---- initialization ---- */

static void init_clients(struct rp_node *node) {
    const struct rp_settings *settings = node->settings;
    rp_kv_client_init(&node->store, node->loop, node->net, settings->kv_addr,
                      settings->kv_limits_current.rps, settings->kv_limits_current.write_rps,
                      settings->n_nodes, settings->tuning.leader_write_share);
    rp_job_lookup_init(&node->job_lookup, node->loop, &node->store, settings);
    rp_cloud_client_init(&node->cloud, node->loop, node->net, settings->cloud_addr,
                         settings->cloud_rps);
}

static void init_leadership(struct rp_node *node) {
    const struct rp_settings *settings = node->settings;
    const struct rp_tuning *tuning = &settings->tuning;
    rp_election_init(&node->election, node->loop, &node->store, settings->node,
                     tuning->leader_ttl_s, tuning->leader_check_s, on_elected, on_leadership_lost,
                     node);
    node->election.failover_enabled = tuning->standby && !tuning->keep_old_forms;
    rp_upgrade_init(&node->upgrade, node->loop, &node->store, &node->election, settings,
                    on_format_change, node);
    rp_catalog_source_init(&node->catalog_source, node->loop, &node->cloud, &node->store,
                           &node->election, &node->upgrade, settings, &node->catalog);
    node->catalog_source.on_known = on_catalog_known;
    node->catalog_source.arg = node;
}

static int init_cluster_state(struct rp_node *node) {
    const struct rp_settings *settings = node->settings;
    rp_jobs_init(&node->jobs, node->loop, &node->store, &node->election, &node->upgrade, settings);
    node->jobs.on_loaded = on_jobs_loaded;
    node->jobs.on_job_closed = on_job_closed;
    node->jobs.on_open_jobs_changed = on_change;
    node->jobs.arg = node;
    if (rp_cluster_init(&node->cluster, node->loop, &node->jobs, settings, &node->catalog) < 0)
        return -1;
    rp_fleet_init(&node->fleet, node->loop, &node->cloud, &node->store, &node->election,
                  &node->cluster, &node->jobs, settings, &node->catalog);
    node->fleet.withheld_answers.upgrade = &node->upgrade;
    node->fleet.on_loaded = on_machines_loaded;
    node->fleet.on_loaded_arg = node;
    node->fleet.context.on_changed = on_change;
    node->fleet.context.on_changed_arg = node;
    rp_image_index_init(&node->image_index, node->loop, node->net, &node->election, &node->cluster,
                        settings);
    return 0;
}

static int init_workers(struct rp_node *node) {
    const struct rp_settings *settings = node->settings;
    if (!rp_metrics_init(&node->metrics))
        return -1;
    const struct rp_worker_context context = {.loop = node->loop,
                                              .election = &node->election,
                                              .cluster = &node->cluster,
                                              .jobs = &node->jobs,
                                              .fleet = &node->fleet,
                                              .settings = settings,
                                              .metrics = &node->metrics,
                                              .net = node->net,
                                              .on_capacity_freed = on_capacity_freed,
                                              .arg = node};
    rp_workers_init(&node->workers, &context);
    rp_phase_probes_init(&node->phase_probes, &node->workers.context);
    rp_standby_init(&node->standby, node->loop, node->net, &node->election, &node->cluster,
                    &node->workers, settings);
    return 0;
}

static void init_scheduling(struct rp_node *node) {
    const struct rp_settings *settings = node->settings;
    rp_service_controller_init(&node->services, node->loop, &node->cluster, &node->jobs,
                               &node->workers, &node->fleet, settings, &node->catalog);
    rp_scheduler_init(&node->scheduler, node->loop, &node->election, &node->cluster, &node->jobs,
                      &node->fleet, &node->services, settings, &node->metrics);
    rp_cycle_trigger_init(&node->cycle_trigger, node->loop, settings, &node->state,
                          &node->scheduler, &node->services, &node->workers);
}

static void init_users_and_peers(struct rp_node *node) {
    const struct rp_settings *settings = node->settings;
    rp_phase_report_init(&node->phase_report, node->loop, &node->store, settings, &node->state,
                         &node->election, &node->cluster);
    rp_phase_view_init(&node->phase_view, node->loop, node->net, &node->store, settings,
                       &node->election, &node->cluster, &node->phase_report);
    rp_peer_health_init(&node->peer_health, node->loop, node->net, settings, &node->store,
                        &node->jobs);
    node->api = (struct rp_user_api){.loop = node->loop,
                                     .settings = settings,
                                     .store = &node->store,
                                     .upgrade = &node->upgrade,
                                     .catalog_source = &node->catalog_source,
                                     .cluster = &node->cluster,
                                     .job_lookup = &node->job_lookup,
                                     .terminal_states = &node->terminal_states,
                                     .metrics = &node->metrics,
                                     .read_phase = rp_phase_view_read,
                                     .arg = &node->phase_view};
}

/* Each part is initialized after those that it refers to. */
int rp_node_init(struct rp_node *node, struct rp_loop *loop, struct rp_net net,
                 const struct rp_settings *settings) {
    memset(node, 0, sizeof *node);
    node->loop = loop;
    node->net = net;
    node->settings = settings;
    node->recovery_timer = (struct rp_timer){.fn = on_recovery_due, .arg = node};
    init_clients(node);
    init_leadership(node);
    if (init_cluster_state(node) < 0)
        return -1;
    if (init_workers(node) < 0)
        return -1;
    init_scheduling(node);
    init_users_and_peers(node);
    return 0;
}

/* Starts the parts that run on every node. Elections start later (join_elections), scheduling when
 * the node leads (enter_leading). The source of the machine types is started first, because
 * elections wait for them. */
void rp_node_start(struct rp_node *node) {
    rp_catalog_source_start(&node->catalog_source);
    rp_upgrade_start(&node->upgrade);
    rp_image_index_start(&node->image_index);
    rp_standby_start(&node->standby);
    rp_phase_report_start(&node->phase_report);
    rp_phase_view_start(&node->phase_view);
    rp_peer_health_start(&node->peer_health);
}

void rp_node_begin_shutdown(struct rp_node *node) {
    node->is_shutting_down = true;
    rp_election_resign(&node->election, RESIGN_BACKOFF_S);
}

/* Parts that refer to the cluster state are closed before it: workers and standby first, then
 * machines, then the jobs that machines refer to. The clients are closed after the parts that may
 * have calls in flight. */
void rp_node_close(struct rp_node *node) {
    rp_workers_close(&node->workers);
    rp_standby_close(&node->standby);
    rp_fleet_close(&node->fleet);
    rp_cluster_free(&node->cluster);
    rp_jobs_clear(&node->jobs);
    stop_scheduling(node);
    rp_election_stop(&node->election);
    rp_upgrade_stop(&node->upgrade);
    rp_image_index_close(&node->image_index);
    rp_catalog_source_close(&node->catalog_source);
    rp_timer_cancel(node->loop, &node->recovery_timer);
    rp_cycle_trigger_stop(&node->cycle_trigger);
    rp_phase_report_close(&node->phase_report);
    rp_phase_view_close(&node->phase_view);
    rp_peer_health_stop(&node->peer_health);
    rp_job_lookup_close(&node->job_lookup);
    rp_kv_client_close(&node->store);
    rp_cloud_client_close(&node->cloud);
    rp_metrics_free(&node->metrics);
}

bool rp_node_is_healthy(const struct rp_node *node) {
    bool is_in_service = !node->is_shutting_down && node->upgrade.state != RP_UPGRADE_TOO_OLD;
    bool has_started = node->catalog_source.is_known && node->store.n_ok > 0;
    return is_in_service && has_started &&
           !rp_peer_health_is_isolated_from_store(&node->peer_health);
}
