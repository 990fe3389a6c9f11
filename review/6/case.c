/* The state of a job may lag by up to 3 s: a controller that can't reach the leading one reports
 * the state of half a minute ago. See claim.txt. */
#include <stdlib.h>
#include <string.h>
#include "../stand-ins-2/world.h"

#define REFUSED_FROM_S 9.0 /* all machines and controllers are up by then */
#define REFUSED_FOR_S 30.0 /* peers_refuse: for_s = 40.0 of the site, shorter here */
#define SUBMIT_S 10.0
#define RUN_S 22.0
#define LAG_S 3.0 /* PROTOCOL: "The state may lag by up to 3 s" */
#define POLL_PERIOD_S 1.0
#define MIN_POLLS 20 /* the least number of judged answers with which a run counts */

static bool has_trouble;
static struct world_job *job;
static double running_since; /* when the job's only task began to run; 0: not yet */
static double polled_at;
static bool is_refused, was_refused;
static int n_judged;
static int n_wrong;

static double boot_s(int index) {
    (void)index;
    return 2.0;
}

static void on_task_start(struct world_machine *machine, struct world_task *task) {
    (void)machine;
    if (task->job == job)
        running_since = world_now();
}

/* Judges an answer to a question that was asked more than 3 s after the task began to run, and
 * arrived while it ran. */
static void on_poll_answer(int node, struct world_job *polled, double sent_at, int status,
                           const json_t *body) {
    const char *tension = json_string_value(json_object_get(body, "tension"));
    double now = world_now();
    if (polled != job || status != 200 || !tension || running_since <= 0 ||
        sent_at <= running_since + LAG_S || now >= running_since + RUN_S)
        return;
    n_judged++;
    if (strcmp(tension, "running") == 0)
        return;
    n_wrong++;
    record("RULE state: sheave-%d says \"%s\", the task has run for %.1f s", node, tension,
           now - running_since);
}

static void on_step(void) {
    double now = world_now();
    bool should_refuse =
        has_trouble && now > REFUSED_FROM_S && now < REFUSED_FROM_S + REFUSED_FOR_S;
    if (should_refuse != is_refused) {
        peers_refuse(should_refuse);
        is_refused = should_refuse;
        was_refused |= is_refused;
    }
    if (job->is_accepted && now > polled_at + POLL_PERIOD_S) {
        polled_at = now;
        for (int i = 0; i < WORLD_NODES; i++)
            poll_job(i, job);
    }
    if (running_since > 0 && now > running_since + RUN_S)
        world_end(n_judged < MIN_POLLS ? 2 : n_wrong > 0);
}

int main(int argc, char **argv) {
    const char *trouble = getenv("TROUBLE");
    has_trouble = !trouble || strcmp(trouble, "0") != 0;
    options = (struct world_options){
        .name = "6",
        .record_path = argc > 1 ? argv[1] : "review/6/record.txt",
        .catalog = "{\"frames\":[{\"name\":\"kea-small\",\"vcpus\":8,\"cards\":0,\"memory_gb\":32,"
                   "\"cache_gb\":50,\"fetch_gb_per_s\":0.3,\"price\":0.36,\"market_price\":0.11,"
                   "\"boot_s\":35,\"yards\":[\"tarawera\"]}]}",
        .teams = "[{\"name\":\"platform-crew\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,"
                 "\"gpus_max\":0.0}]",
        .zones = "[\"tarawera\"]",
        .objectives = "[]",
        .state = "{\"rps\":200.0,\"write_rps\":20.0,\"value_kb\":8.0,\"txn_ops\":8}",
        .name_prefix = "vm-",
        .fetch_s = 1.0,
        .lease_s = 14.0,
        .report_s = 2.0,
        .cancel_s = 39.0,
        .duration_s = 80.0,
        .boot_s = boot_s,
        .on_step = on_step,
        .on_task_start = on_task_start,
        .on_poll_answer = on_poll_answer};
    job = add_job("j-000412", "sweep", 1, 1, RUN_S, SUBMIT_S, 0);
    return world_run() == 1 ? 1 : n_judged < MIN_POLLS || (has_trouble && !was_refused) ? 2 : 0;
}
