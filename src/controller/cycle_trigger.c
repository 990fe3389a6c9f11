#include "controller/cycle_trigger.h"

#include "scheduler/cycle.h"
#include "scheduler/service_controller.h"
#include "worker/direct_commands.h"

/* The share of this node's processor time that triggered cycles may use. */
#define CYCLE_CPU_SHARE 0.35
/* The largest share of one core's time that triggered cycles may use, also on a node with several
 * cores. A larger share brings no earlier starts, because each cycle then finds less to do. */
#define CYCLE_CORE_SHARE_MAX 0.12
/* The minimum number of seconds between two triggered cycles, however short the cycles are: with
 * 850 machines, about 20 heartbeats arrive in that time. */
#define CYCLE_INTERVAL_MIN_S 0.1
/* Seconds for which the answer to a heartbeat may wait for a cycle. docs/safety.md relies on this
 * bound. */
#define ANSWER_WAIT_MAX_S 0.8

/* Seconds until the next triggered cycle may run; zero or less when it may run now. Cycles that
 * take long have longer intervals between them, and each cycle handles more changes at once. */
static double until_next_cycle_s(const struct rp_cycle_trigger *trigger) {
    const struct rp_scheduler *scheduler = trigger->scheduler;
    double since_last_s = rp_ts_since(rp_loop_now(trigger->loop), scheduler->last_cycle_at);
    double core_share =
        fmin(CYCLE_CPU_SHARE * fmin(1, trigger->settings->cpu_share), CYCLE_CORE_SHARE_MAX);
    return fmax(scheduler->last_cycle_duration_s / core_share, CYCLE_INTERVAL_MIN_S) - since_last_s;
}

static void run_cycle(struct rp_cycle_trigger *trigger) {
    rp_timer_cancel(trigger->loop, &trigger->timer);
    rp_scheduler_run_cycle(trigger->scheduler);
    rp_direct_commands_send_fenced(&trigger->workers->context);
    rp_workers_answer_pending(trigger->workers);
}

static void on_cycle_due(void *arg) {
    struct rp_cycle_trigger *trigger = arg;
    if (*trigger->node_state == RP_NODE_LEADING)
        run_cycle(trigger);
}

void rp_cycle_trigger_init(struct rp_cycle_trigger *trigger, struct rp_loop *loop,
                           const struct rp_settings *settings, const enum rp_node_state *node_state,
                           struct rp_scheduler *scheduler, struct rp_services *services,
                           struct rp_workers *workers) {
    *trigger = (struct rp_cycle_trigger){.loop = loop,
                                         .settings = settings,
                                         .node_state = node_state,
                                         .scheduler = scheduler,
                                         .services = services,
                                         .workers = workers,
                                         .timer = {.fn = on_cycle_due, .arg = trigger}};
}

bool rp_cycle_trigger_on_capacity_freed(struct rp_cycle_trigger *trigger) {
    if (*trigger->node_state != RP_NODE_LEADING)
        return true;
    /* Replicas of services are placed without waiting for a cycle, because the machines with
     * capacity for them are known already. */
    rp_service_controller_run(trigger->services);
    double wait_s = until_next_cycle_s(trigger);
    if (wait_s <= 0) {
        run_cycle(trigger);
        return true;
    }
    bool is_scheduled = trigger->timer.heap_index != 0;
    if (!is_scheduled)
        rp_timer_set(trigger->loop, &trigger->timer, wait_s);
    return wait_s > ANSWER_WAIT_MAX_S;
}

void rp_cycle_trigger_stop(struct rp_cycle_trigger *trigger) {
    rp_timer_cancel(trigger->loop, &trigger->timer);
}
