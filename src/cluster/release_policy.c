#include "cluster/release_policy.h"

#include "cluster/quarantine.h"

/* Time within which a machine reports again after its lease expired because no leader answered
 * it. */
#define LOST_GRACE_S 16.0
/* Time within which a lost machine reports again if most machines of its zone, or many machines in
 * all, fell silent together with it. */
#define PARTITION_GRACE_S 75.0
/* How long a machine that reports but receives no answers is kept: longer than its lease, so that
 * it can recover. */
#define ANSWERS_LOST_MAX_S 32.0
/* How long after the end announced by a spot notice a silent machine counts as reclaimed. */
#define SPOT_NOTICE_GRACE_S 1.0
/* Boot time assumed for a type that the catalog does not have. */
#define UNKNOWN_TYPE_BOOT_S 60.0
/* A booting machine is released this time after boot_patience times its type's boot time has passed
 * without a heartbeat. */
#define BOOT_MARGIN_S 5.0

struct policy {
    const struct rp_failure_detector *detector;
    const struct rp_fleet_context *context;
    struct rp_release *release;
    struct timespec now;
};

/* Whether the machine has received no answers for too long, and this node is not suspected to be
 * the cause. */
static bool has_lost_answers_too_long(const struct policy *policy,
                                      const struct rp_machine *machine) {
    return !policy->detector->is_node_suspected &&
           rp_failure_answers_lost_s(machine, policy->now) > ANSWERS_LOST_MAX_S;
}

/* Whether the cloud has reclaimed the spot machine, as announced by its notice. */
static bool is_reclaimed(const struct policy *policy, const struct rp_machine *machine) {
    return machine->spot_notice.received &&
           rp_ts_since(policy->now, machine->spot_notice.ends_at) > SPOT_NOTICE_GRACE_S &&
           rp_failure_is_machine_silent(policy->context, machine, policy->now);
}

/* The reason why the machine is to be released once it is idle; NULL if it is to be kept. */
static const char *reason_to_release_idle(const struct policy *policy,
                                          const struct rp_machine *machine) {
    if (machine->health.quarantined)
        return "quarantined";
    if (machine->spot_notice.received)
        return "spot_notice";
    return machine->scale_in.draining && policy->context->is_cloud_responding ? "drained" : NULL;
}

/* Releases the machine if the policy requires it, or makes it RP_MACHINE_LOST. Returns whether the
 * machine became lost. */
static bool check_running(const struct policy *policy, struct rp_machine *machine) {
    if (rp_machine_is_lease_expired(machine, policy->now)) {
        rp_machine_on_lease_expired(policy->context->cluster, machine);
        return true;
    }
    const char *reason = reason_to_release_idle(policy, machine);
    if (has_lost_answers_too_long(policy, machine))
        rp_release_machine(policy->release, machine, "answers_lost");
    else if (is_reclaimed(policy, machine))
        rp_release_machine(policy->release, machine, "taken_away");
    else if (reason && machine->state == RP_MACHINE_UP && rp_machine_is_idle(machine))
        rp_release_machine(policy->release, machine, reason);
    return false;
}

/* Whether this node has led long enough for machines to report to it after a failover. */
static bool has_led_for_grace(const struct policy *policy) {
    return rp_ts_since(policy->now, policy->context->led_since) > LOST_GRACE_S;
}

static void check_lost(const struct policy *policy, struct rp_machine *machine) {
    /* After a network partition ends, the partitioned machines report again one by one. The longer
     * grace period prevents the release of the remaining ones once the first have reported. */
    bool was_partitioned =
        rp_failure_detector_was_partitioned(policy->detector, machine, policy->now);
    double grace_s = was_partitioned ? PARTITION_GRACE_S : LOST_GRACE_S;
    bool is_grace_over = !policy->detector->is_node_suspected &&
                         rp_ts_since(policy->now, machine->lost_since) > grace_s;
    if (has_lost_answers_too_long(policy, machine))
        rp_release_machine(policy->release, machine, "answers_lost");
    else if (is_grace_over && has_led_for_grace(policy))
        rp_release_machine(policy->release, machine, "lost");
}

/* The tasks of a machine that is being released end with its lease, too, if the cloud has not
 * confirmed its deletion before. Without this check, they would count as on the machine for as long
 * as the cloud does not respond: a replica would not be started again, and its job's state would
 * remain unknown. Returns whether the machine became lost. */
static bool check_releasing(const struct policy *policy, struct rp_machine *machine) {
    if (!rp_machine_is_lease_expired(machine, policy->now))
        return false;
    rp_machine_on_lease_expired(policy->context->cluster, machine);
    return true;
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
            is_any_lost |= check_releasing(&policy, machine);
            break;
        case RP_MACHINE_RELEASING_LOST:
            break;
        }
    }
    return is_any_lost;
}
