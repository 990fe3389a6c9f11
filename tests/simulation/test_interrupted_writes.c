/* Facts that are stored by more than one write. Each test runs one scenario again and again: in
 * each run another write is interrupted, and the leader that sent it ends soon after, while the
 * machine with the newest task is out of reach. The next leader has only the stored records to
 * decide where tasks may run, and in some runs it ends, too. No rule may be broken, and all jobs
 * must end. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include "base/log.h"
#include "scenario.h"

#define SEED 71
/* Names so long that a record that marks half of its machines as up is longer than a value. */
#define LONG_MACHINE_PREFIX "vm-with-a-long-name-"
#define N_TASKS 22              /* of the array; as many machines as one request provides */
#define RUN_S 45.0              /* run time of each of them: longer than a lease */
#define FIRST_RUN_S 4.0         /* run time of a first job, whose machines fall free one by one */
#define STAGGER_S 2.0           /* between the ends of its tasks */
#define INTERRUPTED_BY_S 45.0   /* no write is interrupted after this time */
#define UNREACHABLE_S 17.0      /* longer than a lease */
#define DOWNTIME_S 3.0          /* of a process */
#define LEADER_WAIT_S 30.0      /* longest time until a next leader is found */
#define LEADER_ENDS_LATER_S 4.0 /* from the interruption: a machine can get a task meanwhile */
#define NEXT_ENDS_AFTER_S 1.0   /* from the beginning of the next leader's term */
#define STEP_S 0.02
/* Fewer writes show that the scenario does not do what it is for: a record in parts has two, its
 * acceptance and its deletion. */
#define N_WRITES_MIN 2
#define RANDOM_SEED 7400     /* the first seed of the scenarios with faults at random */
#define N_RANDOM 16          /* number of them */
#define FIRST_SPLIT_WRITE 10 /* writes of provision records before the first one that is split */

/* One run: which write is interrupted, and when leaders end. */
struct interrupted_run {
    const char *prefix;
    enum sim_interruption_kind kind;
    bool repeats;
    unsigned long nth;
    double leader_ends_after_s; /* from the interruption */
    double next_ends_after_s;   /* from the beginning of the next term; 0: it does not end */
};

/* Jobs for which machines are provisioned by requests so large that their records are split. */
static void submit_machine_jobs(struct sim *sim) {
    scenario_remove_team_limit(sim);
    int first = sim_submit(sim, 1, "sweep", 8, 8, FIRST_RUN_S, 0);
    sim->jobs[first].stagger_s = STAGGER_S;
    int second = sim_submit(sim, 2, "sweep", N_TASKS, 8, RUN_S, 0);
    sim_set_field(sim, first, "frames", json_pack("[s]", "small"));
    sim_set_field(sim, second, "frames", json_pack("[s]", "small"));
}

static struct sim *start(const struct interrupted_run *run) {
    static const struct sim_size size = {64, 40, 2, 14, 39, 200, 20, 5};
    struct sim *sim = sim_new_sized(SEED, &scenario_no_faults, SIM_NO_BREAKAGE, 3, &size);
    sim->machine_prefix = LONG_MACHINE_PREFIX;
    sim->interruption = (struct sim_interruption){
        .prefix = run->prefix, .nth = run->nth, .kind = run->kind, .repeats = run->repeats};
    submit_machine_jobs(sim);
    sim_submit_long(sim, 3, 3, FIRST_RUN_S); /* its record is stored in parts */
    sim_submit(sim, 4, "sweep", 5, 1, FIRST_RUN_S, 20);
    return sim;
}

/* When the task that began to run last on the machine began; 0: none runs. */
static double newest_start_at(const struct sim_worker *worker) {
    double newest_at = 0;
    for (int i = 0; worker->used && i < worker->n_tasks; i++)
        if (worker->tasks[i].state == RP_TASK_RUNNING)
            newest_at = fmax(newest_at, worker->tasks[i].running_since);
    return newest_at;
}

/* Ends the node. The machine on which a task began to run last is out of reach from then on: what
 * the records state about it is the newest of all. */
static void end_node(struct sim *sim, int node) {
    struct sim_worker *newest = &sim->workers[0];
    for (int i = 1; i < sim->size.n_workers; i++)
        if (newest_start_at(&sim->workers[i]) > newest_start_at(newest))
            newest = &sim->workers[i];
    newest->unreachable_until = sim->now + UNREACHABLE_S;
    sim->interruption.repeats = false;
    sim_crash(sim, node, DOWNTIME_S);
}

static void end_next_leader(struct sim *sim, double after_s) {
    double wait_until = sim->now + LEADER_WAIT_S;
    while (sim_leader(sim) < 0 && sim->now < wait_until && !sim->violation[0])
        sim_run(sim, STEP_S);
    sim_run(sim, after_s);
    if (sim_leader(sim) >= 0)
        end_node(sim, sim_leader(sim));
}

static void expect_good_end(struct sim *sim, const struct interrupted_run *run) {
    sim_run(sim, UNREACHABLE_S);
    sim_end_faults(sim);
    for (int i = 0; i < SCENARIO_COMPLETION_S && !sim_all_terminal(sim); i++)
        sim_run(sim, 1);
    if (sim->violation[0] || !sim_all_terminal(sim))
        fail_msg("write %lu below %s, kind %d, the leader ends after %.1f s, the next after %.1f "
                 "s: %s",
                 run->nth, run->prefix, (int)run->kind, run->leader_ends_after_s,
                 run->next_ends_after_s,
                 sim->violation[0] ? sim->violation : "not all jobs have ended");
}

/* Returns whether there is a write of that number. */
static bool run_once(const struct interrupted_run *run) {
    struct sim *sim = start(run);
    while (sim->interruption.happened_at <= 0 && sim->now < INTERRUPTED_BY_S && !sim->violation[0])
        sim_run(sim, STEP_S);
    bool has_happened = sim->interruption.happened_at > 0;
    if (has_happened) {
        sim_run(sim, run->leader_ends_after_s);
        end_node(sim, sim->interruption.node);
        if (run->next_ends_after_s > 0)
            end_next_leader(sim, run->next_ends_after_s);
        expect_good_end(sim, run);
    }
    sim_free(sim);
    return has_happened;
}

/* Interrupts the writes below the prefix, at least `n_writes_min`, one after the other, and ends
 * the leader at once, then in further runs later, alone and together with the next leader. */
static void interrupt_each_write(const char *prefix, enum sim_interruption_kind kind,
                                 unsigned long n_writes_min) {
    struct interrupted_run run = {.prefix = prefix, .kind = kind, .repeats = true, .nth = 1};
    while (run_once(&run)) {
        run.leader_ends_after_s = LEADER_ENDS_LATER_S;
        run_once(&run);
        run.next_ends_after_s = NEXT_ENDS_AFTER_S;
        run_once(&run);
        run.leader_ends_after_s = run.next_ends_after_s = 0;
        run.nth++;
    }
    assert_at_least(run.nth - 1, n_writes_min);
}

/* A record of machines was split, and its second write came late: the next leader took a machine
 * with a task for one that boots, and started the task on another machine. */
static void late_writes_of_machines_break_no_rule(void **state) {
    (void)state;
    interrupt_each_write(RP_KEY_PROVISION, SIM_WRITE_LATE, N_WRITES_MIN);
}

/* The same facts, but the second write of a split is never carried out. */
static void lost_writes_of_machines_break_no_rule(void **state) {
    (void)state;
    interrupt_each_write(RP_KEY_PROVISION, SIM_WRITE_LOST, N_WRITES_MIN);
}

/* The same facts, but the leader does not learn that the second write was carried out. */
static void unanswered_writes_of_machines_break_no_rule(void **state) {
    (void)state;
    interrupt_each_write(RP_KEY_PROVISION, SIM_WRITE_ANSWER_LOST, N_WRITES_MIN);
}

/* A job's record and its parts, its move to a terminal state, and the deletion of what belongs to
 * it. */
static void late_writes_of_jobs_break_no_rule(void **state) {
    (void)state;
    interrupt_each_write(RP_KEY_OPEN, SIM_WRITE_LATE, N_WRITES_MIN);
    interrupt_each_write(RP_KEY_PART, SIM_WRITE_LATE, N_WRITES_MIN);
}

/* The progress of a job, which several records hold, and their deletion after the job's end. */
static void late_writes_of_progress_break_no_rule(void **state) {
    (void)state;
    interrupt_each_write(RP_KEY_PROGRESS, SIM_WRITE_LATE, N_WRITES_MIN);
}

/* The same records, when a write is never carried out, or its answer is lost. */
static void lost_writes_and_answers_of_jobs_break_no_rule(void **state) {
    static const char *const prefixes[] = {RP_KEY_OPEN, RP_KEY_PART, RP_KEY_PROGRESS};
    (void)state;
    for (size_t i = 0; i < sizeof prefixes / sizeof prefixes[0]; i++) {
        interrupt_each_write(prefixes[i], SIM_WRITE_LOST, N_WRITES_MIN);
        interrupt_each_write(prefixes[i], SIM_WRITE_ANSWER_LOST, N_WRITES_MIN);
    }
}

/* The leader's key, the announcements of formats and their activation. */
static void late_writes_of_leadership_and_formats_break_no_rule(void **state) {
    (void)state;
    interrupt_each_write(RP_KEY_LEADER, SIM_WRITE_LATE, 1);
    interrupt_each_write(RP_KEY_ANNOUNCEMENT, SIM_WRITE_LATE, N_WRITES_MIN);
    interrupt_each_write(RP_KEY_ACTIVATION, SIM_WRITE_LATE, 1);
}

/* Advances the simulation, and ends the leader up to LEADER_ENDS_LATER_S after the interrupted
 * write and each further one that was delayed. */
static void run_with_leaders_ended_after_late_writes(struct sim *sim, double seconds) {
    unsigned long n_seen = 0;
    double end_at = 0;
    for (double until = sim->now + seconds; sim->now < until && !sim->violation[0];) {
        sim_run(sim, STEP_S);
        unsigned long n_late = sim->n_delayed_writes + (sim->interruption.happened_at > 0);
        if (end_at <= 0 && n_late > n_seen)
            end_at = sim->now + LEADER_ENDS_LATER_S * (0.5 + gsl_rng_uniform(sim->rng));
        if (end_at <= 0 || sim->now < end_at)
            continue;
        if (sim_leader(sim) >= 0)
            end_node(sim, sim_leader(sim));
        n_seen = n_late;
        end_at = 0;
    }
}

/* The same splits with faults at random: writes that are late or whose answers are lost, and ends
 * of leaders soon after them. */
static void split_records_under_random_faults_break_no_rule(void **state) {
    static const struct sim_size size = {64, 40, 2, 14, 39, 200, 20, 5};
    static const struct sim_faults faults = {
        .delayed_write = 0.01, .dropped_answer = 0.02, .late_duplicate = 0.02};
    (void)state;
    for (unsigned long seed = RANDOM_SEED; seed < RANDOM_SEED + N_RANDOM; seed++) {
        struct sim *sim = sim_new_sized(seed, &faults, SIM_NO_BREAKAGE, seed % 2 ? 3 : 5, &size);
        sim->machine_prefix = LONG_MACHINE_PREFIX;
        sim->interruption = (struct sim_interruption){.prefix = RP_KEY_PROVISION,
                                                      .nth = FIRST_SPLIT_WRITE + seed % 6,
                                                      .kind = SIM_WRITE_LATE,
                                                      .repeats = true};
        submit_machine_jobs(sim);
        run_with_leaders_ended_after_late_writes(sim, 90);
        sim_end_faults(sim);
        sim_run(sim, SCENARIO_COMPLETION_S);
        scenario_expect_no_violation(sim, seed);
        assert_true(sim_all_terminal(sim));
        sim_free(sim);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(late_writes_of_machines_break_no_rule),
        cmocka_unit_test(lost_writes_of_machines_break_no_rule),
        cmocka_unit_test(unanswered_writes_of_machines_break_no_rule),
        cmocka_unit_test(late_writes_of_jobs_break_no_rule),
        cmocka_unit_test(late_writes_of_progress_break_no_rule),
        cmocka_unit_test(lost_writes_and_answers_of_jobs_break_no_rule),
        cmocka_unit_test(late_writes_of_leadership_and_formats_break_no_rule),
        cmocka_unit_test(split_records_under_random_faults_break_no_rule)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
