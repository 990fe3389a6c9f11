#include "standby/standby.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "worker/worker_fencing.h"

#define TICK_S 0.1
#define TICK_MOST_S 0.3 /* a tick counts for no more: this node itself may have stood still */
/* Between questions to the leader, and for an answer: several are under way where it stands still,
 * so that the first answer after that comes at once. */
#define ASK_S 0.25
#define ASK_WAIT_S 2.0
#define SUSPECT_SHARE 0.4   /* of the time until the verdict */
#define PEERS_ASK_S 0.4     /* between questions to the other nodes, */
#define PEERS_ROUTINE_S 2.0 /* and while nothing is suspected */
#define AWAY_S 8.0
#define PEERS_WAIT_S 0.6
#define HEARD_LATELY_S 1.0 /* another node that has heard the leader since then speaks for it */
#define RANK_S 0.3         /* the nodes that follow take over one after the other */
#define NO_REPLICA_S                                                                               \
    0.7                  /* one without a copy of the leader's directory after those that have it  \
                          */
#define RETRY_S 0.5      /* after a takeover that failed */
#define LOOK_FRESH_S 2.0 /* the key was read so lately */
#define FENCE_WINDOW 128 /* machines asked at a time */
#define FENCE_AFTER_S 0.15     /* reports that wait here are answered first, which does the same */
#define DIRECT_STARTS_MOST 128 /* of arrays' tasks after a takeover */
#define SECOND_PASS_S 1.2 /* machines that were answered, but haven't shown the token by then */

static void tick(void *arg);
static void fence_due(void *arg);
static void on_machine(void *arg, const struct rp_machine *machine, bool gone);

int rp_standby_init(struct rp_standby *standby, struct rp_loop *loop, struct rp_net net,
                    struct rp_election *election, struct rp_cluster *cluster,
                    struct rp_workers *workers, const struct rp_settings *settings) {
    memset(standby, 0, sizeof *standby);
    standby->loop = loop;
    standby->net = net;
    standby->election = election;
    standby->cluster = cluster;
    standby->workers = workers;
    standby->settings = settings;
    standby->timer = (struct rp_timer){.fn = tick, .arg = standby};
    standby->fence_timer = (struct rp_timer){.fn = fence_due, .arg = standby};
    cluster->on_machine = on_machine;
    cluster->on_machine_arg = standby;
    standby->peers = calloc(settings->n_peers + 1, sizeof *standby->peers);
    for (size_t i = 0; standby->peers && i < settings->n_peers; i++)
        standby->peers[i] =
            (struct rp_standby_peer){.standby = standby, .heard = rp_loop_now(loop)};
    return standby->peers ? 0 : -1;
}

/* The one place where it changes its state. */
static void set_state(struct rp_standby *standby, enum rp_standby_state state) {
    static const char *const names[RP_STANDBY_STATES] = {
        "off", "following", "suspecting", "claiming", "fencing", "verifying", "leading"};
    struct timespec now = rp_loop_now(standby->loop);
    enum rp_standby_state was = standby->state;
    if (was == state)
        return;
    rp_debug("standby: %s -> %s, leader=%s silent=%.2fs", names[was], names[state], standby->leader,
             standby->silent_s);
    bool taking_over = was >= RP_STANDBY_CLAIMING && was < RP_STANDBY_LEADING;
    if (was >= RP_STANDBY_SUSPECTING && was < RP_STANDBY_LEADING)
        standby->last_stage_s[was] = rp_ts_since(now, standby->entered[was]);
    if (was == RP_STANDBY_SUSPECTING && state == RP_STANDBY_FOLLOWING)
        standby->n_withdrawn++;
    if (taking_over && state == RP_STANDBY_FOLLOWING)
        rp_info("takeover from %s not completed", standby->leader);
    standby->state = state;
    standby->entered[state] = now;
    if (state == RP_STANDBY_SUSPECTING) {
        memset(standby->last_stage_s, 0, sizeof standby->last_stage_s);
        standby->suspected_at = rp_ts_sub(now, rp_ts(standby->silent_s));
        rp_info("leader %s has been silent for %.2fs", standby->leader, standby->silent_s);
    }
    if (state == RP_STANDBY_LEADING && taking_over) {
        standby->n_takeovers++;
        standby->last_takeover_s = rp_ts_since(now, standby->suspected_at);
        rp_info("took over from %s in %.2fs", standby->leader, standby->last_takeover_s);
    }
}

/* ---- the leader's side ---- */

/* What a standby has to know of the machine as it is now. */
static struct rp_change change_of(const struct rp_machine *machine) {
    struct rp_change change = {.kind = RP_CHANGE_MACHINE_UP,
                               .incarnation = machine->contact.incarnation};
    if (machine->state == RP_MACHINE_RELEASING)
        change.kind = RP_CHANGE_MACHINE_RELEASING;
    rp_string_copy(change.machine, sizeof change.machine, machine->name);
    rp_string_copy(change.addr, sizeof change.addr, machine->addr);
    return change;
}

static void on_machine(void *arg, const struct rp_machine *machine, bool gone) {
    struct rp_standby *standby = arg;
    struct rp_change change = change_of(machine);
    if (!standby->settings->tuning.standby)
        return;
    if (gone)
        change.kind = RP_CHANGE_MACHINE_TERMINATED;
    rp_change_log_add(&standby->log, &change);
}

static void snapshot(const struct rp_standby *standby, struct rp_stream_message *out) {
    const struct rp_cluster *cluster = standby->cluster;
    size_t n_gone = rp_change_log_n_terminated(&standby->log);
    out->changes = rp_alloc(cluster->n_machines + n_gone + 1, sizeof *out->changes);
    rp_change_log_terminated(&standby->log, out->changes);
    out->n_changes = n_gone;
    for (const struct rp_machine *machine = cluster->first; machine; machine = machine->next) {
        bool reachable = *machine->addr && machine->contact.incarnation > 0;
        if (reachable || machine->state == RP_MACHINE_RELEASING)
            out->changes[out->n_changes++] = change_of(machine);
    }
    out->term = standby->log.term;
    out->index = standby->log.index;
    out->snapshot = true;
}

/* "...?term=T&index=I"; what can't be read asks for a snapshot. */
static void read_target(const char *target, uint64_t *term, uint64_t *index) {
    const char *query = strchr(target, '?');
    unsigned long long t = 0, i = 0;
    if (!query || sscanf(query, "?term=%llu&index=%llu", &t, &i) != 2)
        t = i = 0; // NOLINT(cert-err34-c): numbers out of range are refused by the log
    *term = t;
    *index = i;
}

char *rp_standby_answer(struct rp_standby *standby, const char *target) {
    struct rp_stream_message message = {.silent_s = standby->silent_s};
    uint64_t term, index;
    read_target(target, &term, &index);
    bool leads = standby->election->state == RP_ELECTION_HOLDING_KEY && standby->log.term > 0;
    if (!leads)
        snprintf(message.leader, sizeof message.leader, "%s", standby->leader);
    else if (term != standby->log.term || !rp_change_log_since(&standby->log, index, &message)) {
        snapshot(standby, &message);
        standby->n_snapshots++;
    }
    char *text = rp_stream_encode(&message);
    rp_stream_message_free(&message);
    return text;
}

/* ---- following ---- */

static const struct rp_peer *peer_named(const struct rp_standby *standby, const char *name) {
    for (size_t i = 0; i < standby->settings->n_peers; i++)
        if (strcmp(standby->settings->peers[i].name, name) == 0)
            return &standby->settings->peers[i];
    return NULL;
}

static bool read_answer(struct rp_standby *standby, const struct rp_answer *answer,
                        struct rp_stream_message *message) {
    struct rp_stream_error error;
    if (answer->status != 200)
        return false;
    if (rp_stream_decode(answer->body, answer->len, message, &error))
        return true;
    if (standby->n_refused[error.fault]++ == 0)
        rp_error("message of the leader's stream refused: %s, field=%s",
                 rp_stream_fault_name(error.fault), error.field);
    return false;
}

static void take(struct rp_standby *standby, const struct rp_stream_message *message) {
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
        rp_machine_directory_clear(
            &standby->directory); /* so that the next question is for a snapshot */
        break;
    }
}

/* Any answer shows that the leader's process runs; what it says is looked at besides. */
static void leader_answered(void *arg, const struct rp_answer *answer) {
    struct rp_standby *standby = arg;
    struct rp_stream_message message = {0};
    if (answer->status == 0 || standby->state > RP_STANDBY_SUSPECTING)
        return;
    standby->silent_s = 0;
    rp_election_note_leader_answer(standby->election, true);
    if (standby->state == RP_STANDBY_SUSPECTING)
        set_state(standby, RP_STANDBY_FOLLOWING);
    if (read_answer(standby, answer, &message)) {
        take(standby, &message);
        rp_stream_message_free(&message);
    }
}

static void ask_leader(struct rp_standby *standby, const struct rp_peer *leader,
                       struct timespec now) {
    char target[128];
    if (rp_ts_since(now, standby->asked) < ASK_S)
        return;
    standby->asked = now;
    snprintf(target, sizeof target, "%s?term=%llu&index=%llu", RP_PATH_STREAM,
             (unsigned long long)standby->directory.term,
             (unsigned long long)standby->directory.index);
    standby->net.call(standby->net.ctx, leader->addr, "GET", target, NULL, ASK_WAIT_S,
                      leader_answered, standby);
}

/* ---- suspecting ---- */

static void peer_answered(void *arg, const struct rp_answer *answer) {
    struct rp_standby_peer *peer = arg;
    struct rp_standby *standby = peer->standby;
    struct rp_stream_message message = {0};
    if (answer->status != 0) {
        peer->heard = rp_loop_now(standby->loop);
        peer->away = false;
    }
    if (!read_answer(standby, answer, &message))
        return;
    if (message.term == 0 && strcmp(message.leader, standby->leader) == 0) {
        struct timespec now = rp_loop_now(standby->loop);
        if (message.silent_s < HEARD_LATELY_S)
            standby->heard_by_another = now;
        else
            standby->missed_by_another = now;
    }
    rp_stream_message_free(&message);
}

static void ask_peers(struct rp_standby *standby, struct timespec now, double every_s) {
    if (rp_ts_since(now, standby->peers_asked) < every_s)
        return;
    standby->peers_asked = now;
    for (size_t i = 0; i < standby->settings->n_peers; i++) {
        const struct rp_peer *peer = &standby->settings->peers[i];
        if (strcmp(peer->name, standby->leader) != 0)
            standby->net.call(standby->net.ctx, peer->addr, "GET", RP_PATH_STREAM, NULL,
                              PEERS_WAIT_S, peer_answered, &standby->peers[i]);
    }
}

/* While the leader answers, it isn't this node that is cut off. */
static void note_away(struct rp_standby *standby, struct timespec now) {
    for (size_t i = 0; i < standby->settings->n_peers; i++)
        standby->peers[i].away |= rp_ts_since(now, standby->peers[i].heard) > AWAY_S;
}

/* How many of the nodes that don't lead come before this one. */
static size_t rank_of(const struct rp_standby *standby) {
    size_t rank = 0;
    for (size_t i = 0; i < standby->settings->n_peers; i++) {
        const char *name = standby->settings->peers[i].name;
        rank += strcmp(name, standby->leader) != 0 && strcmp(name, standby->settings->node) < 0;
    }
    return rank;
}

static bool lately(struct timespec at, struct timespec now) {
    return !rp_ts_zero(at) && rp_ts_since(now, at) < HEARD_LATELY_S;
}

/* Whether no node besides the leader has been there for a while. */
static bool alone(const struct rp_standby *standby) {
    for (size_t i = 0; i < standby->settings->n_peers; i++)
        if (strcmp(standby->settings->peers[i].name, standby->leader) != 0 &&
            !standby->peers[i].away)
            return false;
    return true;
}

/* Another node misses the leader, too, and none has heard it. A node that hears nobody at all, all
 * of a sudden, is rather cut off itself; it has to wait for the end of the leader's lease. */
static bool others_agree(const struct rp_standby *standby, struct timespec now) {
    return !lately(standby->heard_by_another, now) &&
           (alone(standby) || lately(standby->missed_by_another, now));
}

static bool may_take_over(const struct rp_standby *standby, struct timespec now) {
    double verdict_s =
        standby->settings->tuning.suspect_after_s + RANK_S * (double)rank_of(standby);
    /* A node that has just begun doesn't know the machines yet: another one does it sooner. */
    if (standby->directory.term != standby->election->leader_key_revision)
        verdict_s += NO_REPLICA_S;
    return standby->silent_s >= verdict_s && others_agree(standby, now) &&
           rp_kv_failing_s(standby->election->store) <= 0 &&
           rp_ts_since(now, standby->election->leader_key_read_at) < LOOK_FRESH_S;
}

static void suspect(struct rp_standby *standby, struct timespec now) {
    double since = rp_ts_since(now, standby->ticked);
    standby->silent_s += since < TICK_MOST_S ? since : TICK_MOST_S;
    if (standby->silent_s < SUSPECT_SHARE * standby->settings->tuning.suspect_after_s) {
        ask_peers(standby, now, PEERS_ROUTINE_S);
        note_away(standby, now);
        return;
    }
    if (standby->state == RP_STANDBY_FOLLOWING) {
        standby->heard_by_another = standby->missed_by_another = (struct timespec){0};
        set_state(standby, RP_STANDBY_SUSPECTING);
        /* Reports wait here from now on rather than being sent to it. */
        rp_election_note_leader_answer(standby->election, false);
    }
    ask_peers(standby, now, PEERS_ASK_S);
    if (!may_take_over(standby, now))
        return;
    if (rp_election_fence_leader(standby->election))
        set_state(standby, RP_STANDBY_CLAIMING);
    else
        standby->silent_s -= RETRY_S;
}

static void follow(struct rp_standby *standby, struct timespec now) {
    const struct rp_peer *leader = peer_named(standby, standby->election->leader);
    if (!leader || strcmp(leader->name, standby->leader) != 0) {
        snprintf(standby->leader, sizeof standby->leader, "%s", leader ? leader->name : "");
        standby->silent_s = 0;
        set_state(standby, RP_STANDBY_FOLLOWING);
    }
    if (!leader)
        return;
    ask_leader(standby, leader, now);
    suspect(standby, now);
}

/* ---- taking over ---- */

/* What the election does, in the words of a takeover. */
static void claim(struct rp_standby *standby) {
    switch (standby->election->state) {
    case RP_ELECTION_FOLLOWING:
        standby->silent_s -= RETRY_S;
        set_state(standby, RP_STANDBY_FOLLOWING);
        break;
    case RP_ELECTION_OVERWRITING_KEY:
        break;
    default:
        set_state(standby, RP_STANDBY_FENCING);
        break;
    }
}

static void tick(void *arg) {
    struct rp_standby *standby = arg;
    struct timespec now = rp_loop_now(standby->loop);
    rp_timer_set(standby->loop, &standby->timer, TICK_S);
    if (standby->state == RP_STANDBY_OFF && standby->election->failover_enabled)
        set_state(standby, RP_STANDBY_FOLLOWING);
    switch (standby->state) {
    case RP_STANDBY_FOLLOWING:
    case RP_STANDBY_SUSPECTING:
        if (standby->election->state == RP_ELECTION_FOLLOWING)
            follow(standby, now);
        break;
    case RP_STANDBY_CLAIMING:
    case RP_STANDBY_FENCING:
        claim(standby);
        break;
    default:
        break;
    }
    standby->ticked = now;
}

/* ---- showing the new token to the machines ---- */

static void fence_some(struct rp_standby *standby);

static void machine_fenced(void *arg, bool fenced) {
    struct rp_standby *standby = arg;
    standby->n_fencing--;
    if (fenced)
        standby->n_fenced++;
    else
        standby->n_unfenced++;
    fence_some(standby);
}

static void fence_some(struct rp_standby *standby) {
    while (standby->n_fencing < FENCE_WINDOW && standby->next_to_fence < standby->n_to_fence) {
        const char *name = standby->to_fence[standby->next_to_fence++];
        struct rp_machine *machine = rp_machine_find(standby->cluster, name);
        const struct rp_directory_machine *known =
            rp_machine_directory_find(&standby->directory, name);
        if (!machine || !known || !*known->addr || machine->state != RP_MACHINE_UNRECONCILED)
            continue;
        standby->n_fencing++;
        rp_worker_fence(&standby->workers->context, machine, known->addr, known->incarnation,
                        machine_fenced, standby);
    }
}

/* Machines that have just been answered show the token with their next report. */
static void list_to_fence(struct rp_standby *standby, bool answered_too) {
    const struct rp_cluster *cluster = standby->cluster;
    free(standby->to_fence);
    standby->to_fence = calloc(cluster->n_machines + 1, sizeof *standby->to_fence);
    standby->n_to_fence = standby->next_to_fence = 0;
    if (!standby->to_fence)
        return; /* their reports do the same, later */
    for (const struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        if (machine->state == RP_MACHINE_UNRECONCILED &&
            (answered_too || rp_ts_zero(machine->contact.first_answer)))
            rp_string_copy(standby->to_fence[standby->n_to_fence++],
                           sizeof standby->to_fence[standby->n_to_fence++], machine->name);
}

/* What the leader before has given back, or had begun to, may still stand in a record, and nothing
 * else would tell for seconds that it is gone: the cloud's answer to the same request does. */
static void return_again(struct rp_standby *standby) {
    for (struct rp_machine *machine = standby->cluster->first; machine; machine = machine->next) {
        const struct rp_directory_machine *known =
            rp_machine_directory_find(&standby->directory, machine->name);
        if ((known && known->releasing) ||
            rp_tombstones_has(&standby->directory.tombstones, machine->name))
            rp_fleet_scale_in(standby->workers->context.fleet, machine,
                              "the leader before gave it back");
    }
}

static void fence_due(void *arg) {
    struct rp_standby *standby = arg;
    if (standby->state != RP_STANDBY_LEADING)
        return;
    list_to_fence(standby, standby->second_pass);
    rp_debug("showing this term's token: machines=%zu, in the replica=%zu of term=%llu",
             standby->n_to_fence, standby->directory.n_machines,
             (unsigned long long)standby->directory.term);
    fence_some(standby);
    if (!standby->second_pass)
        rp_timer_set(standby->loop, &standby->fence_timer, SECOND_PASS_S);
    standby->second_pass = true;
}

/* ---- what the node tells ---- */

void rp_standby_start(struct rp_standby *standby) {
    standby->ticked = rp_loop_now(standby->loop);
    if (standby->settings->tuning.standby)
        rp_timer_set(standby->loop, &standby->timer, TICK_S);
}

void rp_standby_close(struct rp_standby *standby) {
    rp_timer_cancel(standby->loop, &standby->timer);
    rp_timer_cancel(standby->loop, &standby->fence_timer);
    standby->cluster->on_machine = NULL;
    rp_change_log_free(&standby->log);
    rp_machine_directory_free(&standby->directory);
    free(standby->to_fence);
    standby->to_fence = NULL;
    free(standby->peers);
    standby->peers = NULL;
}

void rp_standby_elected(struct rp_standby *standby) {
    rp_change_log_begin(&standby->log, standby->election->fencing_token);
    if (standby->state == RP_STANDBY_OFF)
        return;
    if (standby->state == RP_STANDBY_CLAIMING)
        set_state(standby, RP_STANDBY_FENCING);
    set_state(standby,
              standby->state == RP_STANDBY_FENCING ? RP_STANDBY_VERIFYING : RP_STANDBY_FOLLOWING);
}

void rp_standby_lead(struct rp_standby *standby) {
    if (standby->state == RP_STANDBY_OFF)
        return;
    set_state(standby, RP_STANDBY_LEADING);
    standby->n_fenced = standby->n_unfenced = 0;
    standby->second_pass = false;
    standby->workers->context.n_direct_array_starts_left = DIRECT_STARTS_MOST;
    return_again(standby);
    rp_timer_set(standby->loop, &standby->fence_timer, FENCE_AFTER_S);
}

void rp_standby_lost(struct rp_standby *standby) {
    rp_change_log_begin(&standby->log, 0);
    rp_timer_cancel(standby->loop, &standby->fence_timer);
    standby->n_to_fence = standby->next_to_fence = 0;
    standby->workers->context.n_direct_array_starts_left = 0;
    standby->leader[0] = '\0';
    standby->silent_s = 0;
    if (standby->state != RP_STANDBY_OFF)
        set_state(standby, RP_STANDBY_FOLLOWING);
}

json_t *rp_standby_json(const struct rp_standby *standby) {
    static const char *const names[RP_STANDBY_STATES] = {
        "off", "following", "suspecting", "claiming", "fencing", "verifying", "leading"};
    const double *stage_s = standby->last_stage_s;
    unsigned long refused = 0;
    for (int i = 0; i < RP_STREAM_FAULTS; i++)
        refused += standby->n_refused[i];
    bool leads = standby->state == RP_STANDBY_LEADING;
    return json_pack(
        "{s:s,s:I,s:I,s:I,s:f,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:{s:f,s:f,s:f,s:f,s:f}}", "state",
        names[standby->state], "term",
        (json_int_t)(leads ? standby->log.term : standby->directory.term), "index",
        (json_int_t)(leads ? standby->log.index : standby->directory.index), "machines",
        (json_int_t)(leads ? standby->cluster->n_machines : standby->directory.n_machines),
        "silent_s", standby->silent_s, "takeovers", (json_int_t)standby->n_takeovers, "withdrawn",
        (json_int_t)standby->n_withdrawn, "snapshots_sent", (json_int_t)standby->n_snapshots,
        "messages_refused", (json_int_t)refused, "old_terms", (json_int_t)standby->n_old_terms,
        "gaps", (json_int_t)standby->n_gaps, "machines_fenced", (json_int_t)standby->n_fenced,
        "machines_not_fenced", (json_int_t)standby->n_unfenced, "last_takeover", "total_s",
        standby->last_takeover_s, "suspecting_s", stage_s[RP_STANDBY_SUSPECTING], "claiming_s",
        stage_s[RP_STANDBY_CLAIMING], "fencing_s", stage_s[RP_STANDBY_FENCING], "verifying_s",
        stage_s[RP_STANDBY_VERIFYING]);
}
