#include "cluster/release_policy.h"

#include "cluster/quarantine.h"

/* A machine that lost its lease through our absence comes back within this. */
#define LOST_GRACE_S 16.0
/* When most of its zone, or many others, fell silent with it. */
#define CUT_GRACE_S 75.0
/* A machine that reports but gets no answers has had its lease's time, and more, to recover. */
#define ANSWERS_LOST_MAX_S 32.0
#define SPOT_NOTICE_GRACE_S 1.0 /* after the end that the notice told */
/* Boot time of a type that the catalog doesn't have. */
#define UNKNOWN_TYPE_BOOT_S 60.0
#define BOOT_MARGIN_S 5.0

struct policy {
    const struct rp_failure_detector *detector;
    const struct rp_fleet_context *context;
    struct rp_release *release;
    struct timespec now;
};

static bool is_answers_lost_too_long(const struct policy *policy,
                                     const struct rp_machine *machine) {
    return !policy->detector->is_node_suspected &&
           rp_failure_answers_lost_s(machine, policy->now) > ANSWERS_LOST_MAX_S;
}

/* The cloud has taken it away, as it told. */
static bool is_taken_away(const struct policy *policy, const struct rp_machine *machine) {
    return machine->spot_notice.received &&
           rp_ts_since(policy->now, machine->spot_notice.ends_at) > SPOT_NOTICE_GRACE_S &&
           rp_failure_is_machine_silent(policy->context, machine, policy->now);
}

/* Why an idle machine is not to be used any more; NULL: it is. */
static const char *reason_to_retire(const struct rp_machine *machine) {
    if (machine->health.quarantined)
        return "quarantined";
    if (machine->spot_notice.received)
        return "spot_notice";
    return machine->scale_in.draining ? "drained" : NULL;
}

/* Returns whether the machine was lost. */
static bool check_running(const struct policy *policy, struct rp_machine *machine) {
    if (rp_machine_is_lease_expired(machine, policy->now)) {
        rp_machine_set_state(policy->context->cluster, machine, RP_MACHINE_LOST);
        return true;
    }
    const char *reason = reason_to_retire(machine);
    if (is_answers_lost_too_long(policy, machine))
        rp_release_machine(policy->release, machine, "answers_lost");
    else if (is_taken_away(policy, machine))
        rp_release_machine(policy->release, machine, "taken_away");
    else if (reason && machine->state == RP_MACHINE_UP && rp_machine_is_idle(machine))
        rp_release_machine(policy->release, machine, reason);
    return false;
}

/* After a failover machines need time to be heard of anew. */
static bool has_led_for_grace(const struct policy *policy) {
    return rp_ts_since(policy->now, policy->context->led_since) > LOST_GRACE_S;
}

static void check_lost(const struct policy *policy, struct rp_machine *machine) {
    /* After a cut its machines come back one by one: the first of them are no reason to release the
     * rest. */
    bool is_cut = rp_failure_detector_was_partitioned(policy->detector, machine, policy->now);
    double grace_s = is_cut ? CUT_GRACE_S : LOST_GRACE_S;
    bool is_grace_over = !policy->detector->is_node_suspected &&
                         rp_ts_since(policy->now, machine->lost_since) > grace_s;
    if (is_answers_lost_too_long(policy, machine))
        rp_release_machine(policy->release, machine, "answers_lost");
    else if (is_grace_over && has_led_for_grace(policy))
        rp_release_machine(policy->release, machine, "lost");
}

static void check_booting(const struct policy *policy, struct rp_machine *machine) {
    const struct rp_fleet_context *context = policy->context;
    double boot_s =
        machine->type >= 0 ? context->catalog->types[machine->type].boot_s : UNKNOWN_TYPE_BOOT_S;
    double limit_s = boot_s * context->settings->tuning.boot_patience + BOOT_MARGIN_S;
    if (rp_ts_since(policy->now, machine->requested_at) > limit_s && has_led_for_grace(policy))
        rp_release_machine(policy->release, machine, "boot_timeout");
}

bool rp_release_policy_apply(const struct rp_failure_detector *detector, struct rp_release *release,
                             struct timespec now) {
    const struct policy policy = {detector, release->context, release, now};
    bool is_any_lost = false;
    for (struct rp_machine *machine = release->context->cluster->first; machine;
         machine = machine->next) {
        rp_quarantine_step(machine, now);
        switch (machine->state) {
        case RP_MACHINE_UNRECONCILED:
        case RP_MACHINE_UP:
            is_any_lost |= check_running(&policy, machine);
            break;
        case RP_MACHINE_LOST:
            check_lost(&policy, machine);
            break;
        case RP_MACHINE_BOOTING:
            check_booting(&policy, machine);
            break;
        case RP_MACHINE_RELEASING:
            break;
        }
    }
    return is_any_lost;
}
