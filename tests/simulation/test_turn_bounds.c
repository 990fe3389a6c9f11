/* The work of one turn of the event loop is bounded at the largest jobs and the smallest amounts
 * that PROTOCOL allows, for every kind of job and with several such jobs at once. The tests count
 * steps and allocations, not seconds: a turn that walks 100,000 tasks on all machines takes longer
 * than the leader's lease, so that each controller in turn leads and hangs. */
#include "test.h"

#include "base/log.h"
#include "config/platform_file.h"
#include "controller/node.h"
#include "protocol/cloud_codec.h"
#include "protocol/job_codec.h"
#include "scheduler/cycle.h"
#include "scheduler/service_controller.h"

#define START_S 100.0 /* time of the virtual clock at the start */
#define CYCLE_S 2.0   /* seconds from one scheduling cycle to the next */
#define TOKEN 10      /* fencing token of the node's term */
#define N_ZONES 3
#define N_LARGE_JOBS 3
#define LARGE_JOB_TASKS 30000 /* of a job that fits on 600 machines beside others like it */
/* Bytes of a report that are not tasks: its other fields and the brackets. */
#define REPORT_HEAD_BYTES 600
#define REPORT_BYTES_MAX 65536 /* PROTOCOL: a request body is limited to 64 KiB */
/* The longest entry of a task in a report. */
#define LONGEST_ENTRY                                                                              \
    "{\"lift\": \"j-18446744073709551615/99999\", \"pull\": 18446744073709551615, "                \
    "\"tension\": \"exited\", \"slack_reason\": \"halted\", \"stored\": true}, "

static const char settings_text[] =
    "{\"node_name\":\"n0\",\"location\":\"a\",\"client_listen\":\"10.0.0.1:1\",\"peer_listen\":"
    "\"10.0.0.1:2\",\"seeds\":[],\"external\":{\"cloud\":\"cloud\",\"state\":\"state\"},"
    "\"params\":{\"nodes\":1,\"zones\":[\"a\",\"b\",\"c\"],\"teams\":["
    "{\"name\":\"crew\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0},"
    "{\"name\":\"guests\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0},"
    "{\"name\":\"guaranteed\",\"cpus\":64,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0},"
    "{\"name\":\"limited\",\"cpus\":0,\"cpus_max\":8,\"gpus\":0,\"gpus_max\":0}],"
    "\"objectives\":[],\"workers\":{\"report_s\":2,\"lease_s\":14,\"gang_wait_s\":40,"
    "\"gang_peer_s\":5,\"cancel_s\":39},\"state\":{\"rps\":200,\"write_rps\":20,"
    "\"value_kb\":8,\"txn_ops\":8},\"cloud\":{\"rps\":5,\"list_lag_s\":3},"
    "\"machine_limits\":{\"cpu_share\":0.16,\"mem_mb\":64,\"max_connections\":800}}}";

static const char catalog_text[] =
    "{\"frames\":[{\"name\":\"gpu\",\"vcpus\":24,\"cards\":4,\"memory_gb\":144,\"cache_gb\":200,"
    "\"fetch_gb_per_s\":1,\"price\":10.51,\"market_price\":3.23,\"boot_s\":40,"
    "\"yards\":[\"a\",\"b\",\"c\"]},{\"name\":\"wide\",\"vcpus\":64,\"cards\":0,\"memory_gb\":256,"
    "\"cache_gb\":200,"
    "\"fetch_gb_per_s\":1,\"price\":3.11,\"market_price\":0.93,\"boot_s\":50,"
    "\"yards\":[\"a\",\"b\",\"c\"]}]}";

/* A node that leads, with a job table and machines that the test fills. Its requests to other hosts
 * get no response. */
struct fixture {
    struct rp_loop loop;
    struct rp_settings settings;
    struct rp_node node;
    unsigned n_jobs;
};

static void drop_call(void *ctx, const char *addr, const char *method, const char *target,
                      const char *body, double timeout_s, rp_response_fn fn, void *arg) {
    (void)ctx, (void)addr, (void)method, (void)target, (void)body, (void)timeout_s, (void)fn;
    (void)arg;
}

static struct fixture *fixture_open(void) {
    static const struct rp_net net = {.call = drop_call, .call_on_own_connection = drop_call};
    struct fixture *fixture = calloc(1, sizeof *fixture);
    assert_non_null(fixture);
    assert_int_equal(rp_platform_file_parse(&fixture->settings, settings_text, "test", stderr), 0);
    rp_settings_complete(&fixture->settings);
    assert_int_equal(rp_loop_init(&fixture->loop, true), 0);
    fixture->loop.virtual_now = rp_ts(START_S);
    struct rp_node *node = &fixture->node;
    assert_int_equal(rp_node_init(node, &fixture->loop, net, &fixture->settings), 0);
    assert_true(rp_cloud_codec_parse_catalog(catalog_text, strlen(catalog_text), &node->catalog));
    rp_cluster_reset(&node->cluster, TOKEN);
    node->election.state = RP_ELECTION_HOLDING_KEY;
    node->election.fencing_token = TOKEN;
    node->scheduler.active = true;
    node->fleet.context.is_cloud_responding = true; /* else no machine is drained */
    return fixture;
}

static void fixture_close(struct fixture *fixture) {
    rp_node_close(&fixture->node);
    rp_loop_close(&fixture->loop);
    rp_settings_free(&fixture->settings);
    free(fixture);
}

/* Advances the time; the node's lease, its watch and the machines' reports are renewed. */
static void advance(struct fixture *fixture, double seconds) {
    struct rp_node *node = &fixture->node;
    fixture->loop.virtual_now = rp_ts_after(fixture->loop.virtual_now, seconds);
    node->election.valid_until = rp_ts_after(fixture->loop.virtual_now, 10);
    node->jobs.watch.synced_at = fixture->loop.virtual_now;
    node->jobs.watch.has_caught_up_with_load = true;
    for (struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        machine->contact.last_message_at = fixture->loop.virtual_now;
}

static void add_machines_of(struct fixture *fixture, unsigned n, const char *type) {
    static const char *const zones[N_ZONES] = {"a", "b", "c"};
    struct rp_cluster *cluster = &fixture->node.cluster;
    for (unsigned i = 0; i < n; i++) {
        char name[32];
        snprintf(name, sizeof name, "vm-%06u", i);
        struct rp_machine *machine = rp_machine_add(cluster, name, RP_MACHINE_BOOTING);
        rp_machine_set_kind(machine, &fixture->node.catalog, type, zones[i % N_ZONES], false);
        rp_machine_set_contact(cluster, machine, "10.1.0.1:9000", 1);
        rp_machine_set_fencing_token_seen(cluster, machine, true);
        machine->recorded = machine->up_recorded = true;
        rp_machine_set_state(cluster, machine, RP_MACHINE_UP);
    }
    advance(fixture, 0);
}

static void add_machines(struct fixture *fixture, unsigned n) {
    add_machines_of(fixture, n, "wide");
}

/* A submission; members that are 0 have the values of an ordinary job. */
struct submission {
    const char *kind, *team, *priority;
    unsigned n_tasks;
    double cpus, gpus, memory_gb;
};

static struct rp_job *add_job(struct fixture *fixture, const struct submission *submission) {
    struct rp_job_spec spec;
    struct rp_codec_error error;
    char id[RP_ID_MAX];
    snprintf(id, sizeof id, "j-%06u", ++fixture->n_jobs);
    json_t *body = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:b,s:b,s:b,s:f,s:f,s:f}", "ref", id, "rig",
        "class", "crew", submission->team, "haul", submission->kind, "precedence",
        submission->priority ? submission->priority : "normal", "lifts", (int)submission->n_tasks,
        "vcpus", submission->cpus, "cards", submission->gpus, "memory_gb", submission->memory_gb,
        "payload", "img-01", "image_gb", 1.0, "one_zone", 0, "spread", 0, "loaners", 0,
        "run_guess_s", 60.0, "brace_every_s", 0.0, "brace_s", 0.0);
    assert_true(rp_job_codec_read_spec(body, &spec, &error));
    json_t *record = rp_record_open(&spec, rp_ts(START_S));
    struct rp_job *job =
        rp_job_create(&fixture->node.jobs.context, record, TOKEN + fixture->n_jobs);
    assert_non_null(job);
    rp_job_table_insert(&fixture->node.jobs.table, job);
    json_decref(record);
    json_decref(body);
    rp_job_spec_free(&spec);
    return job;
}

static size_t largest_machine(const struct fixture *fixture) {
    size_t largest = 0;
    for (const struct rp_machine *machine = fixture->node.cluster.first; machine;
         machine = machine->next)
        largest = machine->n_allocations > largest ? machine->n_allocations : largest;
    return largest;
}

/* Sets the state of all planned and sent allocations as if their machines ran the tasks, for
 * `for_s` seconds.
 */
static void run_planned_tasks(struct fixture *fixture) {
    struct rp_cluster *cluster = &fixture->node.cluster;
    for (struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++) {
            struct rp_allocation *allocation = &machine->allocations[i];
            if (allocation->state != RP_ALLOCATION_PLANNED &&
                allocation->state != RP_ALLOCATION_SENT)
                continue;
            rp_allocation_set_state(cluster, machine, allocation, RP_ALLOCATION_SENT);
            rp_allocation_set_state(cluster, machine, allocation, RP_ALLOCATION_SEEN);
            allocation->task_state = RP_TASK_RUNNING;
            allocation->running_since = fixture->loop.virtual_now;
            allocation->job->n_running++;
        }
}

/* Allocates the job's next tasks, `n` on each machine, and lets them run. */
static void fill_machines(struct fixture *fixture, struct rp_job *job, unsigned n) {
    struct rp_cluster *cluster = &fixture->node.cluster;
    uint64_t attempt = rp_cluster_next_attempt(cluster);
    for (struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        for (unsigned i = 0; i < n; i++) {
            uint32_t task;
            assert_true(rp_job_find_startable_task(job, &task));
            rp_allocation_add(cluster, machine, job, task, attempt, RP_ALLOCATION_PLANNED);
        }
    run_planned_tasks(fixture);
}

static const struct rp_activity *activity_of(const struct fixture *fixture,
                                             enum rp_activity_kind kind) {
    return &fixture->node.scheduler.activities[kind];
}

/* No activity of a cycle may exceed its steps by more than `unit`, its smallest unit of work, which
 * is one look at all machines unless the caller says otherwise. */
static void assert_cycle_is_bounded(const struct fixture *fixture, uint64_t unit) {
    for (int kind = 0; kind < RP_ACTIVITY_KINDS; kind++)
        assert_at_most(activity_of(fixture, (enum rp_activity_kind)kind)->steps.n_taken,
                       RP_TURN_STEPS_MAX + unit);
}

/* Steps of three looks at all machines and their allocations. */
static uint64_t steps_of_three_looks(const struct fixture *fixture) {
    return 3 * (1 + RP_MACHINE_TASK_SLOTS) * fixture->node.cluster.n_machines;
}

/* Review case 1: one service of 100,000 small replicas, accepted from a team without a limit, made
 * the leader place all of them in one turn, which took longer than its lease; so did the next
 * leaders. With several such services, each turn must be bounded, and a service that was submitted
 * after them must be placed at once. */
static void services_of_100000_replicas_are_placed_over_many_turns(void **state) {
    struct fixture *fixture = fixture_open();
    struct rp_services *services = &fixture->node.services;
    const unsigned n_machines = 60;
    (void)state;
    add_machines(fixture, n_machines);
    for (int i = 0; i < N_LARGE_JOBS; i++)
        add_job(fixture, &(struct submission){.kind = "service",
                                              .team = "guests",
                                              .priority = "low",
                                              .n_tasks = RP_TASKS_MAX,
                                              .cpus = 0.0005,
                                              .memory_gb = 0.002});
    const struct rp_job *small = add_job(
        fixture, &(struct submission){
                     .kind = "service", .team = "crew", .n_tasks = 4, .cpus = 1, .memory_gb = 1});
    unsigned long n_placed_max = 0;
    for (int turn = 0; turn < 40; turn++) {
        unsigned long n_before = services->n_placed;
        rp_service_controller_run(services);
        unsigned long n_placed = services->n_placed - n_before;
        n_placed_max = n_placed > n_placed_max ? n_placed : n_placed_max;
        /* A turn may exceed its steps by one look at all machines. */
        assert_at_most(services->steps.n_taken,
                       RP_TURN_STEPS_MAX + n_machines * (2 + RP_MACHINE_TASK_SLOTS));
        if (turn == 0)
            assert_int_equal(small->n_allocated, 4);
        run_planned_tasks(fixture);
        advance(fixture, 0.25);
    }
    assert_at_most(n_placed_max, N_LARGE_JOBS * 256 + 4);
    /* All slots that small tasks may take are in use. */
    assert_at_least(services->n_placed, n_machines * 200);
    assert_at_most(largest_machine(fixture), RP_MACHINE_TASK_SLOTS);
    fixture_close(fixture);
}

/* A job of 100,000 small tasks, of any kind, must not take a place that another team's job needs: a
 * machine has a limited number of task slots, and its last ones are left to larger tasks. */
static void small_tasks_leave_room_for_jobs_of_other_teams(void **state) {
    static const char *const kinds[] = {"service", "sweep"};
    (void)state;
    for (size_t k = 0; k < sizeof kinds / sizeof kinds[0]; k++) {
        struct fixture *fixture = fixture_open();
        add_machines(fixture, 6);
        for (int i = 0; i < N_LARGE_JOBS; i++)
            add_job(fixture, &(struct submission){.kind = kinds[k],
                                                  .team = "guests",
                                                  .priority = "critical",
                                                  .n_tasks = RP_TASKS_MAX,
                                                  .cpus = i * 0.0005,
                                                  .memory_gb = i * 0.001});
        for (int cycle = 0; cycle < 20; cycle++) {
            rp_scheduler_run_cycle(&fixture->node.scheduler);
            run_planned_tasks(fixture);
            advance(fixture, CYCLE_S);
        }
        assert_at_most(largest_machine(fixture), RP_MACHINE_TASK_SLOTS - RP_RESERVED_TASK_SLOTS);
        const struct rp_job *other = add_job(fixture, &(struct submission){.kind = "sweep",
                                                                           .team = "crew",
                                                                           .priority = "low",
                                                                           .n_tasks = 300,
                                                                           .cpus = 1,
                                                                           .memory_gb = 3});
        for (int cycle = 0; cycle < 2; cycle++) {
            rp_scheduler_run_cycle(&fixture->node.scheduler);
            run_planned_tasks(fixture);
            advance(fixture, CYCLE_S);
        }
        assert_int_equal(other->n_allocated, 300);
        assert_at_most(largest_machine(fixture), RP_MACHINE_TASK_SLOTS);
        fixture_close(fixture);
    }
}

/* A service of which all replicas must be in one zone excludes most machines: finding that out must
 * not take a search of all machines for each of them. */
static void placement_in_one_zone_is_bounded(void **state) {
    const unsigned n_machines = 3000;
    struct fixture *fixture = fixture_open();
    struct rp_services *services = &fixture->node.services;
    (void)state;
    add_machines(fixture, n_machines);
    struct rp_job *job = add_job(
        fixture, &(struct submission){
                     .kind = "service", .team = "guests", .n_tasks = RP_TASKS_MAX, .cpus = 0.0005});
    job->spec.one_zone = true;
    /* The first replica goes to the only machine of its zone. */
    for (struct rp_machine *machine = fixture->node.cluster.first; machine; machine = machine->next)
        machine->zone = machine != fixture->node.cluster.first;
    for (int turn = 0; turn < 4; turn++) {
        rp_service_controller_run(services);
        assert_at_most(services->steps.n_taken, RP_TURN_STEPS_MAX);
        advance(fixture, 0.25);
    }
    assert_int_equal(job->n_allocated, 128);
    assert_int_equal(job->n_allocated_by_zone[0], 128);
    fixture_close(fixture);
}

/* A job of many small tasks takes at most as many task slots of a machine as it leaves free:
 * several such jobs, and small tasks of ordinary jobs after them, run beside one another. */
static void large_jobs_of_small_tasks_leave_slots_to_one_another(void **state) {
    static const char *const kinds[] = {"service", "sweep", "ensemble"};
    (void)state;
    for (size_t k = 0; k < sizeof kinds / sizeof kinds[0]; k++) {
        struct fixture *fixture = fixture_open();
        struct rp_job *large[N_LARGE_JOBS];
        add_machines(fixture, 6);
        for (int i = 0; i < N_LARGE_JOBS; i++)
            large[i] = add_job(fixture, &(struct submission){.kind = kinds[k],
                                                             .team = "guests",
                                                             .priority = "critical",
                                                             .n_tasks = k == 2 ? 60 : RP_TASKS_MAX,
                                                             .cpus = 0.0005});
        const struct rp_job *small = NULL;
        for (int cycle = 0; cycle < 24; cycle++) {
            if (cycle == 20)
                small = add_job(fixture, &(struct submission){.kind = "sweep",
                                                              .team = "crew",
                                                              .priority = "low",
                                                              .n_tasks = 12,
                                                              .cpus = 0.1,
                                                              .memory_gb = 0.1});
            rp_scheduler_run_cycle(&fixture->node.scheduler);
            run_planned_tasks(fixture);
            advance(fixture, CYCLE_S);
        }
        for (int i = 0; i < N_LARGE_JOBS; i++)
            assert_at_least(large[i]->n_allocated, 6 * 10);
        assert_int_equal(small->n_allocated, 12);
        fixture_close(fixture);
    }
}

/* Starts are bounded like placements, for arrays and for gangs: the sum over several jobs of
 * 100,000 tasks goes on in later cycles. A gang starts whole, but only one beyond the steps. */
static void starts_of_large_jobs_go_on_in_later_cycles(void **state) {
    static const char *const kinds[] = {"sweep", "ensemble"};
    (void)state;
    for (size_t k = 0; k < sizeof kinds / sizeof kinds[0]; k++) {
        struct fixture *fixture = fixture_open();
        struct rp_job *jobs[N_LARGE_JOBS];
        add_machines(fixture, 600);
        for (int i = 0; i < N_LARGE_JOBS; i++)
            jobs[i] = add_job(fixture, &(struct submission){.kind = kinds[k],
                                                            .team = "guests",
                                                            .n_tasks = LARGE_JOB_TASKS,
                                                            .cpus = 0.0005,
                                                            .memory_gb = 0.002});
        rp_scheduler_run_cycle(&fixture->node.scheduler);
        assert_cycle_is_bounded(fixture, steps_of_three_looks(fixture) + LARGE_JOB_TASKS * 257);
        uint32_t n_started = jobs[0]->n_allocated + jobs[1]->n_allocated + jobs[2]->n_allocated;
        assert_at_least(n_started, 10000);
        assert_less_than(n_started, N_LARGE_JOBS * LARGE_JOB_TASKS);
        for (int cycle = 0; cycle < 10; cycle++) {
            run_planned_tasks(fixture);
            advance(fixture, CYCLE_S);
            rp_scheduler_run_cycle(&fixture->node.scheduler);
            assert_cycle_is_bounded(fixture, steps_of_three_looks(fixture) + LARGE_JOB_TASKS * 257);
        }
        for (int i = 0; i < N_LARGE_JOBS; i++)
            assert_int_equal(jobs[i]->n_allocated, LARGE_JOB_TASKS);
        fixture_close(fixture);
    }
}

/* The machines that a large service of small replicas has filled are candidates for draining:
 * moving the replicas of each to each of the others was one search in one turn. */
static void draining_of_machines_with_small_replicas_is_bounded(void **state) {
    struct fixture *fixture = fixture_open();
    (void)state;
    add_machines(fixture, 300);
    struct rp_job *job = add_job(fixture, &(struct submission){.kind = "service",
                                                               .team = "guests",
                                                               .n_tasks = 300 * 250,
                                                               .cpus = 0.0005,
                                                               .memory_gb = 0.002});
    fill_machines(fixture, job, 250);
    for (struct rp_machine *machine = fixture->node.cluster.first; machine; machine = machine->next)
        rp_machine_record_image(&fixture->node.cluster, machine, job->image_hash, 1);
    for (int cycle = 0; cycle < 4; cycle++) {
        advance(fixture, 100);
        rp_scheduler_run_cycle(&fixture->node.scheduler);
        assert_cycle_is_bounded(fixture, steps_of_three_looks(fixture));
    }
    assert_more_than(activity_of(fixture, RP_ACTIVITY_DRAINING)->steps.n_taken, RP_TURN_STEPS_MAX);
    fixture_close(fixture);
}

/* A service that is to take its team's quota from 75,000 small tasks of the team stops them over
 * several turns. */
static void quota_of_many_small_tasks_is_freed_over_many_turns(void **state) {
    struct fixture *fixture = fixture_open();
    struct rp_services *services = &fixture->node.services;
    (void)state;
    add_machines(fixture, 300);
    struct rp_job *array = add_job(fixture, &(struct submission){.kind = "sweep",
                                                                 .team = "limited",
                                                                 .priority = "low",
                                                                 .n_tasks = 300 * 250,
                                                                 .cpus = 0.0001,
                                                                 .memory_gb = 0.002});
    add_job(fixture, &(struct submission){.kind = "service",
                                          .team = "limited",
                                          .priority = "critical",
                                          .n_tasks = 1,
                                          .cpus = 8,
                                          .memory_gb = 1});
    fill_machines(fixture, array, 250);
    unsigned long n_stopped_max = 0;
    for (int turn = 0; turn < 40 && services->n_preempted < 300 * 250; turn++) {
        unsigned long n_before = services->n_preempted;
        rp_service_controller_run(services);
        assert_at_most(services->steps.n_taken, RP_TURN_STEPS_MAX + steps_of_three_looks(fixture));
        unsigned long n_stopped = services->n_preempted - n_before;
        n_stopped_max = n_stopped > n_stopped_max ? n_stopped : n_stopped_max;
        advance(fixture, 0.25);
    }
    assert_less_than(n_stopped_max, 300 * 250);
    assert_int_equal(services->n_preempted, 300 * 250);
    fixture_close(fixture);
}

/* Each missing task of a gang was searched for on all machines, and a place for it, too. */
static void repair_of_a_large_gang_is_bounded(void **state) {
    struct fixture *fixture = fixture_open();
    (void)state;
    add_machines(fixture, 300);
    struct rp_job *gangs[N_LARGE_JOBS];
    for (int i = 0; i < N_LARGE_JOBS; i++) {
        gangs[i] = add_job(fixture, &(struct submission){.kind = "ensemble",
                                                         .team = "guests",
                                                         .n_tasks = 20000,
                                                         .cpus = 0.0005,
                                                         .memory_gb = 0.002});
        fill_machines(fixture, gangs[i], 50);
    }
    struct rp_cluster *cluster = &fixture->node.cluster;
    for (struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            machine->allocations[i].task_state = RP_TASK_WAITING;
    uint32_t n_before = 0;
    for (int cycle = 0; cycle < 10; cycle++) {
        advance(fixture, CYCLE_S);
        rp_scheduler_run_cycle(&fixture->node.scheduler);
        assert_cycle_is_bounded(fixture, steps_of_three_looks(fixture));
        uint32_t n = gangs[0]->n_allocated + gangs[1]->n_allocated + gangs[2]->n_allocated;
        assert_more_than(n, n_before);
        n_before = n;
    }
    fixture_close(fixture);
}

/* Urgent and patient jobs of one whole machine each find no machine that they can have among
 * machines with many small tasks. Each of them was a search of all machines in the same turn. */
static void searches_for_whole_machines_are_bounded(void **state) {
    static const char *const priorities[] = {"urgent", "low"};
    static const enum rp_activity_kind kinds[] = {RP_ACTIVITY_PREEMPTION, RP_ACTIVITY_RESERVATION};
    (void)state;
    for (int k = 0; k < 2; k++) {
        struct fixture *fixture = fixture_open();
        add_machines(fixture, 300);
        struct rp_job *array = add_job(fixture, &(struct submission){.kind = "sweep",
                                                                     .team = "guests",
                                                                     .priority = "critical",
                                                                     .n_tasks = 300 * 250,
                                                                     .cpus = 0.0005,
                                                                     .memory_gb = 0.002});
        fill_machines(fixture, array, 250);
        for (int i = 0; i < 500; i++)
            add_job(fixture, &(struct submission){.kind = "ensemble",
                                                  .team = "crew",
                                                  .priority = priorities[k],
                                                  .n_tasks = 1,
                                                  .cpus = 64,
                                                  .memory_gb = 256});
        size_t resumed_at = 0;
        for (int cycle = 0; cycle < 3; cycle++) {
            advance(fixture, 50);
            rp_scheduler_run_cycle(&fixture->node.scheduler);
            assert_cycle_is_bounded(fixture, steps_of_three_looks(fixture));
            assert_int_not_equal(activity_of(fixture, kinds[k])->resume_at, resumed_at);
            resumed_at = activity_of(fixture, kinds[k])->resume_at;
        }
        fixture_close(fixture);
    }
}

/* Review case 2: a job of a guaranteed team, whose one task asks for no resources, made the leader
 * count without end how many such tasks fit on a machine that the plan leaves to GPU work. The
 * cycle must end, with the largest jobs of that kind, too, and with amounts of all but nothing. */
static void tasks_without_amounts_end_the_cycle(void **state) {
    static const double amounts[] = {0, 1e-12, 1e-300};
    struct fixture *fixture = fixture_open();
    (void)state;
    add_machines_of(fixture, 6, "gpu");
    for (size_t i = 0; i < sizeof amounts / sizeof amounts[0]; i++)
        for (unsigned n_tasks = 1; n_tasks <= RP_TASKS_MAX; n_tasks *= 10)
            add_job(fixture, &(struct submission){.kind = "sweep",
                                                  .team = "guaranteed",
                                                  .n_tasks = n_tasks,
                                                  .cpus = amounts[i],
                                                  .memory_gb = amounts[i]});
    for (int cycle = 0; cycle < 5; cycle++) {
        rp_scheduler_run_cycle(&fixture->node.scheduler);
        assert_cycle_is_bounded(fixture, steps_of_three_looks(fixture));
        advance(fixture, CYCLE_S);
    }
    assert_more_than(activity_of(fixture, RP_ACTIVITY_QUOTA)->steps.n_taken, 0);
    fixture_close(fixture);
}

/* Work without GPUs may use what GPU work leaves of a GPU machine. A job whose tasks ask for all
 * but no GPU must not make it look as if GPU work used everything. */
static void all_but_no_gpu_leaves_spare_capacity(void **state) {
    struct fixture *fixture = fixture_open();
    (void)state;
    add_machines_of(fixture, 1, "gpu");
    add_job(fixture, &(struct submission){.kind = "sweep",
                                          .team = "crew",
                                          .n_tasks = 1,
                                          .cpus = 0.01,
                                          .gpus = 1e-300,
                                          .memory_gb = 0.01});
    rp_scheduler_run_cycle(&fixture->node.scheduler);
    assert_at_most(fixture->node.scheduler.full_gpu_work[0].cpus, 0.01 * RP_MACHINE_TASK_SLOTS);
    fixture_close(fixture);
}

/* A guarantee that many small jobs take up is enforced over several cycles: each of them was a look
 * at all machines in one turn. */
static void guarantees_of_many_jobs_are_enforced_over_many_cycles(void **state) {
    struct fixture *fixture = fixture_open();
    (void)state;
    add_machines(fixture, 300);
    struct rp_job *array = add_job(fixture, &(struct submission){.kind = "sweep",
                                                                 .team = "guests",
                                                                 .priority = "critical",
                                                                 .n_tasks = 300 * 256,
                                                                 .cpus = 0.0005,
                                                                 .memory_gb = 0.002});
    fill_machines(fixture, array, 256);
    for (int i = 0; i < 500; i++)
        add_job(fixture, &(struct submission){.kind = "sweep", .team = "guaranteed", .n_tasks = 1});
    for (int cycle = 0; cycle < 3; cycle++) {
        rp_scheduler_run_cycle(&fixture->node.scheduler);
        assert_cycle_is_bounded(fixture, steps_of_three_looks(fixture));
        advance(fixture, CYCLE_S);
    }
    assert_more_than(fixture->node.scheduler.n_preempted, 0);
    fixture_close(fixture);
}

/* Machines that are full for large tasks have room for small ones. While a job of small tasks
 * waits, because its team is at its limit or the task slots are in use, the plan must not examine
 * every machine for each of the waiting large jobs, nor for each of the small ones. */
static void small_waiting_jobs_do_not_make_plans_examine_full_machines(void **state) {
    const unsigned n_machines = 300;
    (void)state;
    for (int is_slots_in_use = 0; is_slots_in_use < 2; is_slots_in_use++) {
        struct fixture *fixture = fixture_open();
        struct rp_scheduler *scheduler = &fixture->node.scheduler;
        add_machines(fixture, n_machines);
        struct rp_job *full = add_job(fixture, &(struct submission){.kind = "sweep",
                                                                    .team = "guests",
                                                                    .n_tasks = n_machines * 8,
                                                                    .cpus = 7.9,
                                                                    .memory_gb = 8});
        fill_machines(fixture, full, 8);
        for (int i = 0; i < 400; i++)
            add_job(fixture, &(struct submission){.kind = "sweep",
                                                  .team = "crew",
                                                  .n_tasks = 16,
                                                  .cpus = 1 << i % 4,
                                                  .memory_gb = 8});
        for (int i = 0; i < 200; i++) {
            struct rp_job *small = add_job(
                fixture, &(struct submission){.kind = "sweep",
                                              .team = is_slots_in_use ? "guests" : "limited",
                                              .n_tasks = RP_TASKS_MAX,
                                              .cpus = 1e-6 * (i + 1)});
            if (is_slots_in_use && i < 8)
                fill_machines(fixture, small, i < 7 ? 128U >> i : 1);
        }
        fixture->node.cluster.team_cpus[3] = 8;
        scheduler->n_machines_examined = 0;
        rp_scheduler_run_cycle(scheduler);
        /* Fewer than one for each group: 600 groups examine none of the 300 machines. */
        assert_at_most(scheduler->n_machines_examined, 600);
        fixture_close(fixture);
    }
}

/* A job of 100,000 tasks held 25 kB while it waited, and 125 kB while one of its tasks was
 * allocated: some hundred of them exceeded the memory that a node has. */
static void waiting_large_jobs_hold_little_memory(void **state) {
    struct fixture *fixture = fixture_open();
    (void)state;
    add_machines(fixture, 1);
    struct rp_job *job = add_job(
        fixture,
        &(struct submission){
            .kind = "sweep", .team = "crew", .n_tasks = RP_TASKS_MAX, .cpus = 1, .memory_gb = 1});
    assert_null(job->progress.done);
    assert_null(job->progress.durable);
    assert_null(job->task_allocation_counts);
    rp_scheduler_run_cycle(&fixture->node.scheduler);
    assert_int_equal(job->n_allocated, 64);
    unsigned n_blocks = 0;
    for (unsigned i = 0; i < RP_TASKS_MAX / RP_JOB_COUNT_BLOCK; i++)
        n_blocks += job->task_allocation_counts[i] != NULL;
    assert_int_equal(n_blocks, 1);
    rp_jobs_on_task_done(&fixture->node.jobs, job, RP_TASKS_MAX - 1);
    assert_true(rp_job_is_task_done(job, RP_TASKS_MAX - 1));
    assert_false(rp_job_is_task_done(job, 0));
    assert_false(rp_job_is_task_durable(job, RP_TASKS_MAX - 1));
    fixture_close(fixture);
}

/* A machine whose report is longer than a request body may be gets 413 from every controller, and
 * all its tasks end with its lease. */
static void report_of_a_full_machine_fits_a_request(void **state) {
    (void)state;
    assert_at_most(REPORT_HEAD_BYTES + RP_MACHINE_TASK_SLOTS * strlen(LONGEST_ENTRY),
                   REPORT_BYTES_MAX);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(services_of_100000_replicas_are_placed_over_many_turns),
        cmocka_unit_test(placement_in_one_zone_is_bounded),
        cmocka_unit_test(small_tasks_leave_room_for_jobs_of_other_teams),
        cmocka_unit_test(large_jobs_of_small_tasks_leave_slots_to_one_another),
        cmocka_unit_test(starts_of_large_jobs_go_on_in_later_cycles),
        cmocka_unit_test(draining_of_machines_with_small_replicas_is_bounded),
        cmocka_unit_test(quota_of_many_small_tasks_is_freed_over_many_turns),
        cmocka_unit_test(repair_of_a_large_gang_is_bounded),
        cmocka_unit_test(searches_for_whole_machines_are_bounded),
        cmocka_unit_test(tasks_without_amounts_end_the_cycle),
        cmocka_unit_test(all_but_no_gpu_leaves_spare_capacity),
        cmocka_unit_test(guarantees_of_many_jobs_are_enforced_over_many_cycles),
        cmocka_unit_test(small_waiting_jobs_do_not_make_plans_examine_full_machines),
        cmocka_unit_test(waiting_large_jobs_hold_little_memory),
        cmocka_unit_test(report_of_a_full_machine_fits_a_request)};
    rp_log_setup("test", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
