#include "standby/standby.h"

#include <string.h>
#include "base/log.h"
#include "base/string_copy.h"
#include "protocol/json_text.h"

/* Seconds between two checks of the leader's silence. */
#define TICK_S 0.1
/* Seconds between two requests for the stream, and the timeout of one. The timeout is longer than
 * the period: while the leader is stalled, several requests are in flight, and this node receives a
 * response as soon as the leader runs again. */
#define STREAM_REQUEST_PERIOD_S 0.25
#define STREAM_TIMEOUT_S 2.0
/* Seconds by which a node without a copy of the leader's directory delays its failover. Nodes that
 * have a copy lead sooner after their failover, because they can reach the machines. */
#define NO_DIRECTORY_DELAY_S 0.7
/* Maximum age, in seconds, of this node's last read of the leader's key when it fails over. The
 * read identifies the leader to fence, and an older one may name a leader that has been replaced.
 */
#define KEY_AGE_MAX_S 2.0
/* Maximum number of array tasks that a new leader starts by direct commands; docs/standby.md,
 * "Leading". */
#define DIRECT_STARTS_MAX 128

/* ---- the state machine ---- */

static const char *state_name(enum rp_standby_state state) {
    static const char *const names[RP_STANDBY_STATES] = {
        "off", "following", "suspecting", "claiming", "fencing", "verifying", "leading"};
    return names[state];
}

static bool is_failing_over(enum rp_standby_state state) {
    return state >= RP_STANDBY_CLAIMING && state < RP_STANDBY_LEADING;
}

static void on_suspicion_started(struct rp_standby *standby, struct timespec now) {
    const struct rp_leader_suspicion *suspicion = &standby->suspicion;
    memset(standby->last_failover.stage_s, 0, sizeof standby->last_failover.stage_s);
    standby->last_failover.silent_since = rp_ts_sub(now, rp_ts(suspicion->silent_s));
    rp_info("leader suspected: peer=%s silent_s=%.2f", suspicion->leader, suspicion->silent_s);
}

static void on_failover_completed(struct rp_standby *standby, struct timespec now) {
    struct rp_failover_times *failover = &standby->last_failover;
    standby->n_failovers++;
    failover->total_s = rp_ts_since(now, failover->silent_since);
    rp_info("failover completed: peer=%s total_s=%.2f", standby->suspicion.leader,
            failover->total_s);
}

static void on_stage_ended(struct rp_standby *standby, enum rp_standby_state stage,
                           enum rp_standby_state next, struct timespec now) {
    bool is_stage = stage == RP_STANDBY_SUSPECTING || is_failing_over(stage);
    if (is_stage)
        standby->last_failover.stage_s[stage] = rp_ts_since(now, standby->state_since);
    if (next != RP_STANDBY_FOLLOWING)
        return;
    if (stage == RP_STANDBY_SUSPECTING)
        standby->n_withdrawn++;
    else if (is_failing_over(stage))
        rp_info("failover not completed: peer=%s", standby->suspicion.leader);
}

/* The only function that changes the state. Its transitions, with their causes:
 *   off        -> following   this node may fence leaders and be fenced (on_tick)
 *   following  -> suspecting  the leader has been silent for a share of suspect_after_s
 *                             (check_leader)
 *   suspecting -> following   suspicion withdrawn: the leader has responded (on_leader_response),
 *                             another node leads or none does (follow_leader), or this node was
 *                             elected without a failover (rp_standby_on_elected)
 *   suspecting -> claiming    the silence is confirmed and the write that replaces the leader's key
 *                             has been submitted (fail_over)
 *   claiming   -> fencing     the key is overwritten (check_election, rp_standby_on_elected)
 *   claiming, fencing -> following
 *                             failover not completed: another node wrote the key first, or the
 *                             store did not respond (check_election)
 *   fencing    -> verifying   this node is elected (rp_standby_on_elected)
 *   verifying, following -> leading
 *                             the records are read, after a failover or after an election without
 *                             one (rp_standby_on_leading)
 *   any but off -> following  this node's term has ended (rp_standby_on_leadership_lost) */
static void set_state(struct rp_standby *standby, enum rp_standby_state state) {
    struct timespec now = rp_loop_now(standby->loop);
    enum rp_standby_state previous = standby->state;
    if (previous == state)
        return;
    rp_debug("standby state changed: from=%s to=%s peer=%s silent_s=%.2f", state_name(previous),
             state_name(state), standby->suspicion.leader, standby->suspicion.silent_s);
    on_stage_ended(standby, previous, state, now);
    standby->state = state;
    standby->state_since = now;
    if (state == RP_STANDBY_SUSPECTING)
        on_suspicion_started(standby, now);
    if (state == RP_STANDBY_LEADING && is_failing_over(previous))
        on_failover_completed(standby, now);
}

/* ---- following ---- */

static void apply_message(struct rp_standby *standby, const struct rp_stream_message *message) {
    if (message->term == 0)
        return;
    switch (rp_machine_directory_apply(&standby->directory, message)) {
    case RP_DIRECTORY_APPLIED:
        break;
    case RP_DIRECTORY_OLD_TERM:
        standby->n_old_terms++;
        break;
    case RP_DIRECTORY_GAP:
        standby->n_gaps++;
        /* The next request carries term and index 0, which makes the leader send a snapshot. */
        rp_machine_directory_clear(&standby->directory);
        break;
    }
}

/* A response of any status shows that the leader's process runs, even if its body is refused. */
static void on_leader_response(void *arg, const struct rp_response *answer) {
    struct rp_standby *standby = arg;
    struct rp_stream_message message = {0};
    if (answer->status == 0 || standby->state > RP_STANDBY_SUSPECTING)
        return;
    rp_leader_suspicion_record_response(&standby->suspicion);
    rp_election_record_leader_response(standby->election, true);
    if (standby->state == RP_STANDBY_SUSPECTING)
        set_state(standby, RP_STANDBY_FOLLOWING);
    if (rp_stream_client_read(&standby->client, answer, &message)) {
        apply_message(standby, &message);
        rp_stream_message_free(&message);
    }
}

static void request_stream(struct rp_standby *standby, const struct rp_peer *leader,
                           struct timespec now) {
    const struct rp_stream_request request = {.term = standby->directory.term,
                                              .index = standby->directory.index};
    if (rp_ts_since(now, standby->stream_requested_at) < STREAM_REQUEST_PERIOD_S)
        return;
    standby->stream_requested_at = now;
    rp_stream_client_request(&standby->client, leader->addr, &request, STREAM_TIMEOUT_S,
                             on_leader_response, standby);
}

/* ---- failing over ---- */

static bool may_fail_over(const struct rp_standby *standby, struct timespec now) {
    const struct rp_election *election = standby->election;
    bool has_directory = standby->directory.term == election->leader_key_revision;
    bool is_store_answering = rp_kv_failing_s(election->store) <= 0;
    bool is_key_fresh = rp_ts_since(now, election->leader_key_read_at) < KEY_AGE_MAX_S;
    double delay_s = has_directory ? 0 : NO_DIRECTORY_DELAY_S;
    return is_store_answering && is_key_fresh &&
           rp_leader_suspicion_is_confirmed(&standby->suspicion, now, delay_s);
}

static void fail_over(struct rp_standby *standby) {
    if (rp_election_fence_leader(standby->election))
        set_state(standby, RP_STANDBY_CLAIMING);
    else
        rp_leader_suspicion_defer(&standby->suspicion);
}

/* Adds up the leader's silence, and begins the suspicion or the failover when it is long enough. */
static void check_leader(struct rp_standby *standby, struct timespec now) {
    struct rp_leader_suspicion *suspicion = &standby->suspicion;
    rp_leader_suspicion_add_silence(suspicion, rp_ts_since(now, standby->last_tick_at));
    if (!rp_leader_suspicion_is_suspected(suspicion)) {
        rp_leader_suspicion_check_peers(suspicion, now);
        return;
    }
    if (standby->state == RP_STANDBY_FOLLOWING) {
        rp_leader_suspicion_reset_reports(suspicion);
        set_state(standby, RP_STANDBY_SUSPECTING);
        /* From now on the election names no leader, and workers' heartbeats wait at this node
         * rather than being redirected to the silent one. */
        rp_election_record_leader_response(standby->election, false);
    }
    rp_leader_suspicion_query_peers(suspicion, now);
    if (may_fail_over(standby, now))
        fail_over(standby);
}

static const struct rp_peer *find_peer(const struct rp_standby *standby, const char *name) {
    for (size_t i = 0; i < standby->settings->n_peers; i++)
        if (strcmp(standby->settings->peers[i].name, name) == 0)
            return &standby->settings->peers[i];
    return NULL;
}

static void follow_leader(struct rp_standby *standby, struct timespec now) {
    const struct rp_peer *leader = find_peer(standby, standby->election->leader);
    if (!leader || strcmp(leader->name, standby->suspicion.leader) != 0) {
        rp_leader_suspicion_set_leader(&standby->suspicion, leader ? leader->name : "");
        set_state(standby, RP_STANDBY_FOLLOWING);
    }
    if (!leader)
        return;
    request_stream(standby, leader, now);
    check_leader(standby, now);
}

/* Derives the stage of the failover from the state of the election, which rp_election_fence_leader
 * has started. */
static void check_election(struct rp_standby *standby) {
    switch (standby->election->state) {
    case RP_ELECTION_FOLLOWING:
        rp_leader_suspicion_defer(&standby->suspicion);
        set_state(standby, RP_STANDBY_FOLLOWING);
        break;
    case RP_ELECTION_OVERWRITING_KEY:
        break;
    default:
        set_state(standby, RP_STANDBY_FENCING);
        break;
    }
}

static void on_tick(void *arg) {
    struct rp_standby *standby = arg;
    struct timespec now = rp_loop_now(standby->loop);
    rp_timer_set(standby->loop, &standby->timer, TICK_S);
    if (standby->state == RP_STANDBY_OFF && standby->election->failover_enabled)
        set_state(standby, RP_STANDBY_FOLLOWING);
    switch (standby->state) {
    case RP_STANDBY_FOLLOWING:
    case RP_STANDBY_SUSPECTING:
        if (standby->election->state == RP_ELECTION_FOLLOWING)
            follow_leader(standby, now);
        break;
    case RP_STANDBY_CLAIMING:
    case RP_STANDBY_FENCING:
        check_election(standby);
        break;
    default:
        break;
    }
    standby->last_tick_at = now;
}

/* ---- leading ---- */

/* Releases again the machines that the previous leader has released or was releasing. Their stored
 * records may still exist, and for several seconds only the cloud's response to the same request
 * shows that they are terminated. */
static void release_machines_again(struct rp_standby *standby) {
    const struct rp_machine_directory *directory = &standby->directory;
    for (struct rp_machine *machine = standby->cluster->first; machine; machine = machine->next) {
        const struct rp_directory_machine *entry =
            rp_machine_directory_find(directory, machine->name);
        bool is_releasing = entry && entry->is_releasing;
        if (is_releasing || rp_tombstones_has(&directory->tombstones, machine->name))
            rp_fleet_scale_in(standby->workers->context.fleet, machine, "released_before_failover");
    }
}

void rp_standby_on_elected(struct rp_standby *standby) {
    rp_stream_server_begin_term(&standby->server, standby->election->fencing_token);
    if (standby->state == RP_STANDBY_OFF)
        return;
    if (standby->state == RP_STANDBY_CLAIMING)
        set_state(standby, RP_STANDBY_FENCING);
    set_state(standby,
              standby->state == RP_STANDBY_FENCING ? RP_STANDBY_VERIFYING : RP_STANDBY_FOLLOWING);
}

void rp_standby_on_leading(struct rp_standby *standby) {
    if (standby->state == RP_STANDBY_OFF)
        return;
    set_state(standby, RP_STANDBY_LEADING);
    standby->workers->context.n_direct_array_starts_left = DIRECT_STARTS_MAX;
    release_machines_again(standby);
    rp_machine_fencing_start(&standby->fencing);
}

void rp_standby_on_leadership_lost(struct rp_standby *standby) {
    rp_stream_server_begin_term(&standby->server, 0);
    rp_machine_fencing_stop(&standby->fencing);
    standby->workers->context.n_direct_array_starts_left = 0;
    rp_leader_suspicion_set_leader(&standby->suspicion, "");
    if (standby->state != RP_STANDBY_OFF)
        set_state(standby, RP_STANDBY_FOLLOWING);
}

/* ---- responses and status ---- */

char *rp_standby_answer(struct rp_standby *standby, const char *target) {
    const struct rp_leader_suspicion *suspicion = &standby->suspicion;
    struct rp_stream_message message = {.silent_s = suspicion->silent_s};
    struct rp_stream_request request = rp_stream_request_decode(target);
    bool is_leading =
        standby->election->state == RP_ELECTION_HOLDING_KEY && standby->server.log.term > 0;
    if (is_leading)
        rp_stream_server_answer(&standby->server, &request, &message);
    else
        rp_string_copy(message.leader, sizeof message.leader, suspicion->leader);
    char *text = rp_stream_encode(&message);
    rp_stream_message_free(&message);
    return text;
}

static json_t *last_failover_json(const struct rp_failover_times *failover) {
    const double *stage_s = failover->stage_s;
    return json_pack("{s:f,s:f,s:f,s:f,s:f}", "total_s", failover->total_s, "suspecting_s",
                     stage_s[RP_STANDBY_SUSPECTING], "claiming_s", stage_s[RP_STANDBY_CLAIMING],
                     "fencing_s", stage_s[RP_STANDBY_FENCING], "verifying_s",
                     stage_s[RP_STANDBY_VERIFYING]);
}

json_t *rp_standby_json(const struct rp_standby *standby) {
    const struct rp_machine_directory *directory = &standby->directory;
    const struct rp_stream_server *server = &standby->server;
    bool is_leading = standby->state == RP_STANDBY_LEADING;
    uint64_t term = is_leading ? server->log.term : directory->term;
    uint64_t index = is_leading ? server->log.index : directory->index;
    size_t n_machines = is_leading ? standby->cluster->n_machines : directory->n_machines;
    const struct {
        const char *name;
        unsigned long value;
    } counters[] = {{"takeovers", standby->n_failovers},
                    {"withdrawn", standby->n_withdrawn},
                    {"snapshots_sent", server->n_snapshots},
                    {"messages_refused", rp_stream_client_n_refused(&standby->client)},
                    {"old_terms", standby->n_old_terms},
                    {"gaps", standby->n_gaps},
                    {"machines_fenced", standby->fencing.n_fenced},
                    {"machines_not_fenced", standby->fencing.n_unfenced}};
    json_t *object =
        json_pack("{s:s,s:o,s:o,s:I,s:f}", "state", state_name(standby->state), "term",
                  rp_json_from_count(term), "index", rp_json_from_count(index), "machines",
                  (json_int_t)n_machines, "silent_s", standby->suspicion.silent_s);
    for (size_t i = 0; i < sizeof counters / sizeof counters[0]; i++)
        json_object_set_new(object, counters[i].name, json_integer((json_int_t)counters[i].value));
    json_object_set_new(object, "last_takeover", last_failover_json(&standby->last_failover));
    return object;
}

/* ---- start and stop ---- */

void rp_standby_init(struct rp_standby *standby, struct rp_loop *loop, struct rp_net net,
                     struct rp_election *election, struct rp_cluster *cluster,
                     struct rp_workers *workers, const struct rp_settings *settings) {
    memset(standby, 0, sizeof *standby);
    standby->loop = loop;
    standby->election = election;
    standby->cluster = cluster;
    standby->workers = workers;
    standby->settings = settings;
    standby->timer = (struct rp_timer){.fn = on_tick, .arg = standby};
    standby->client = (struct rp_stream_client){.net = net};
    rp_leader_suspicion_init(&standby->suspicion, loop, settings, &standby->client);
    rp_stream_server_init(&standby->server, cluster, settings);
    rp_machine_fencing_init(&standby->fencing, loop, cluster, workers, &standby->directory);
}

void rp_standby_start(struct rp_standby *standby) {
    standby->last_tick_at = rp_loop_now(standby->loop);
    if (standby->settings->tuning.standby)
        rp_timer_set(standby->loop, &standby->timer, TICK_S);
}

void rp_standby_close(struct rp_standby *standby) {
    rp_timer_cancel(standby->loop, &standby->timer);
    rp_machine_fencing_close(&standby->fencing);
    rp_stream_server_close(&standby->server);
    rp_machine_directory_free(&standby->directory);
    rp_leader_suspicion_free(&standby->suspicion);
}
