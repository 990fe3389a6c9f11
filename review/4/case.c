/* Rule ran_twice: a provision record is split, and a new leader takes a machine that runs a task
 * for one that has not booted. See claim.txt. */
#include <stdlib.h>
#include <string.h>
#include "../stand-ins-2/world.h"

/* The second job's tasks, as many as the machines that one request rents. N_EARLY of these are up 3
 * s after their rental; one more, whose mark makes the record too long, after 12 s; the others
 * after the boot time of their type. */
#define N_TASKS 50
#define N_EARLY 42
#define EARLY_BOOT_S 3.0
#define MARKED_BOOT_S 12.0
#define LATE_BOOT_S 35.0
#define LATE_S 8.0       /* late_writes: 2 to 12 s */
#define CUT_AFTER_S 0.8  /* from the start of the task to the cut and the end of the leader */
#define DOWNTIME_S 3.0   /* from the end of a controller to its restart */
#define OTHER_TASK_S 4.0 /* the task of the first job ends this long after that start */
#define CUT_S 30.0

static bool has_trouble;
static struct world_job *first, *second;
static struct world_machine *marked;
static double started_at; /* when the task on the last machine has started; 0: not yet */
static int killed = -1;
static bool is_restarted;

static double boot_s(int index) {
    if (index <= N_EARLY)
        return EARLY_BOOT_S;
    return index == N_EARLY + 1 ? MARKED_BOOT_S : LATE_BOOT_S;
}

/* late_writes, for the transactions that write the old record again after the new one is stored,
 * until the leader ends: one or two. All others are carried out at once and answered. */
static double late_write_s(const json_t *body) {
    json_t *change;
    size_t i;
    if (!has_trouble || killed >= 0 || n_keys_below("rp/main/rental/s-") == 0)
        return 0;
    json_array_foreach(json_object_get(body, "then"), i, change) {
        const char *path = json_string_value(json_object_get(change, "write"));
        if (path && strncmp(path, "rp/main/rental/r-", strlen("rp/main/rental/r-")) == 0)
            return LATE_S;
    }
    return 0;
}

static void on_task_start(struct world_machine *machine, struct world_task *task) {
    for (int i = 0; i < n_machines; i++)
        for (int k = 0; k < machines[i].n_tasks; k++) {
            const struct world_task *other = &machines[i].tasks[k];
            if (&machines[i] == machine || other->job != task->job || other->index != task->index ||
                !task_is_on_machine(&machines[i], other))
                continue;
            record("RULE ran_twice: %s/%d starts on %s (pull %lld) while it is on %s (pull %lld)",
                   task->job->ref, task->index, machine->name, (long long)task->pull,
                   machines[i].name, (long long)other->pull);
            world_end(1);
        }
    if (machine == &machines[N_EARLY + 1] && started_at <= 0) {
        marked = machine;
        started_at = world_now();
    }
}

/* The first job's task ends at a time, whenever it began. */
static void end_first_task(void) {
    for (int i = 0; i < n_machines; i++)
        for (int k = 0; k < machines[i].n_tasks; k++) {
            struct world_task *task = &machines[i].tasks[k];
            if (task->job == first && task->state == TASK_RUNNING && started_at > 0 &&
                world_now() > started_at + OTHER_TASK_S)
                task->running_since = -1e9;
        }
}

static void on_step(void) {
    if (started_at <= 0)
        return;
    double since_s = world_now() - started_at;
    end_first_task();
    if (has_trouble && killed < 0 && since_s > CUT_AFTER_S) {
        marked->is_cut = true;
        record("%s can't be reached any more", marked->name);
        killed = leader_node();
        if (killed < 0) {
            world_end(2);
            return;
        }
        node_kill(killed);
    }
    if (killed >= 0 && !is_restarted && since_s > CUT_AFTER_S + DOWNTIME_S) {
        node_start(killed);
        is_restarted = true;
    }
    if (since_s > CUT_S)
        world_end(0);
}

int main(int argc, char **argv) {
    const char *trouble = getenv("TROUBLE");
    has_trouble = !trouble || strcmp(trouble, "0") != 0;
    options = (struct world_options){
        .name = "4",
        .record_path = argc > 1 ? argv[1] : "review/4/record.txt",
        .catalog = "{\"frames\":[{\"name\":\"kea-small\",\"vcpus\":8,\"cards\":0,\"memory_gb\":32,"
                   "\"cache_gb\":50,\"fetch_gb_per_s\":0.3,\"price\":0.36,\"market_price\":0.11,"
                   "\"boot_s\":35,\"yards\":[\"tarawera\"]}]}",
        .teams = "[{\"name\":\"platform-crew\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,"
                 "\"gpus_max\":0.0}]",
        .zones = "[\"tarawera\"]",
        .objectives = "[]",
        .state = "{\"rps\":200.0,\"write_rps\":20.0,\"value_kb\":8.0,\"txn_ops\":8,\"next\":{"
                 "\"value_kb\":2.0,\"txn_ops\":4,\"write_rps\":15.0}}",
        .name_prefix = "vm-tarawera-",
        .fetch_s = 0.5,
        .lease_s = 14.0,
        .report_s = 2.0,
        .cancel_s = 39.0,
        .duration_s = 100.0,
        .boot_s = boot_s,
        .on_step = on_step,
        .late_write_s = late_write_s,
        .on_task_start = on_task_start};
    first = add_job("j-000001", "sweep", 1, 8, 1e6, 4, 0);
    second = add_job("j-000002", "sweep", N_TASKS, 8, 1e6, 7, 1);
    int code = world_run();
    return code == 0 && started_at <= 0 ? 2 : code;
}
