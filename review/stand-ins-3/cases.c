/* What happens when, in each case. The claim of a case is in review/N/claim.txt. */
#include <stdlib.h>
#include <string.h>
#include "stage.h"

static void (*step)(double t);
static struct job *victim;
static double trouble_at;

/* Whether the case is played with this part of its disruption: TROUBLE=0 leaves out all of it,
 * TROUBLE=PART plays that part alone. */
static bool has_trouble(const char *part) {
    const char *wanted = getenv("TROUBLE");
    if (!stage.has_trouble)
        return false;
    return !wanted || !*wanted || strcmp(wanted, "1") == 0 || strcmp(wanted, part) == 0;
}

/* ---- cloud-out: a machine with a replica stops while the cloud answers 503 ---- */

static void set_cloud_out(void) {
    victim = add_job("service", 1, 4, 0, 0, 1, "kea-small", 5);
    victim->submitted_at = 0.5;
    for (int i = 0; i < 4; i++)
        add_job("sweep", 2, 8, 0, 200, 1, "moa-wide", 5)->submitted_at = 0.5 + 0.2 * i;
}

static void step_cloud_out(double t) {
    struct machine *machine = machine_of_task(victim->id, 0);
    bool are_others_running = true;
    for (size_t i = 1; i < stage.n_jobs; i++)
        are_others_running &= n_tasks_in(stage.jobs[i].id, RUNNING) == 2;
    if (trouble_at == 0 && machine && are_others_running && victim->n_answered > 0) {
        trouble_at = t;
        machine->has_stopped = has_trouble("machine");
        machine->stopped_at = t;
        stage.is_cloud_out = has_trouble("cloud");
        note("machine %s %s; the cloud %s", machine->name,
             machine->has_stopped ? "stops" : "goes on",
             stage.is_cloud_out ? "answers 503 from now on" : "is well");
    }
    if (trouble_at == 0 && t > 14)
        stage.unable = "the replica doesn't run";
    stage.is_over = trouble_at > 0 && t > trouble_at + 102;
}

/* ---- ten-leaders: leaders end every 12 s while a machine can't be reached ---- */

#define LEADER_PERIOD_S 12.0 /* ten in two minutes */
#define BACK_AFTER_S 3.0     /* from an end to the next start */

static double last_kill_at;
static int killed = -1;

static void set_ten_leaders(void) {
    victim = add_job("sweep", 1, 4, 0, 200, 1, "kea-small", 5);
    victim->submitted_at = 0.5;
    for (int i = 0; i < 4; i++)
        add_job("sweep", 2, 8, 0, 200, 1, "moa-wide", 5)->submitted_at = 0.5 + 0.2 * i;
}

static void step_ten_leaders(double t) {
    struct machine *machine = machine_of_task(victim->id, 0);
    if (trouble_at == 0 && machine && victim->n_answered > 0) {
        trouble_at = t;
        last_kill_at = t + 2 - LEADER_PERIOD_S;
        machine->is_cut = has_trouble("machine");
        note("machine %s %s", machine->name, machine->is_cut ? "is cut off" : "stays");
    }
    if (trouble_at == 0 && t > 12)
        stage.unable = "the task doesn't run";
    if (trouble_at == 0)
        return;
    if (killed >= 0 && t > last_kill_at + BACK_AFTER_S) {
        start_node(killed);
        killed = -1;
    }
    int leader = leading_node();
    if (has_trouble("leaders") && killed < 0 && leader >= 0 && t > last_kill_at + LEADER_PERIOD_S) {
        last_kill_at = t;
        killed = leader;
        kill_node(leader);
    }
    stage.is_over = t > trouble_at + 103;
}

/* ---- slow-images: the images of a job arrive slowly on all its machines ---- */

#define IMAGE_GB 15.0      /* the largest image for this type of machine in the site files */
#define FETCH_GB_PER_S 0.2 /* of tui-gpu; "give or take a third" */

static void set_slow_images(void) {
    double third = has_trouble("images") ? -1.0 / 3 : 1.0 / 3;
    stage.report_s = 4;
    stage.lease_s = 22;
    stage.cancel_s = 47;
    stage.state_rps = 800;
    stage.state_write_rps = 80;
    stage.cloud_rps = 10;
    stage.cpu_share = 0.592;
    stage.memory_mb = 188;
    stage.max_connections = 2941;
    victim =
        add_job("sweep", 36, 20, 4, 30, IMAGE_GB / (FETCH_GB_PER_S * (1 + third)), "tui-gpu", 5);
    json_object_set_new(victim->body, "image_gb", json_real(IMAGE_GB));
    victim->submitted_at = 2;
    for (int i = 0; i < 4; i++)
        add_job("sweep", 2, 8, 0, 200, 1, "moa-wide", 5)->submitted_at = 0.5 + 0.2 * i;
}

static void step_slow_images(double t) {
    stage.is_over = t > 116 || n_tasks_in(victim->id, RUNNING) > 0;
}

/* ---- newest-first: jobs are cancelled at once; the watch lists the newest change first ---- */

static void set_newest_first(void) {
    stage.lists_newest_first = true;
    stage.watch_delay_s = 0.3;
    for (int i = 0; i < 6; i++) {
        struct job *job = add_job("sweep", 1, 4, 0, 100, 1, "kea-small", 5);
        job->submitted_at = 4 + 2 * i;
        job->cancel_asked_at = has_trouble("cancel") ? -1 : 0;
    }
}

static void step_newest_first(double t) {
    for (size_t i = 0; i < stage.n_jobs; i++)
        if (!stage.has_trouble && stage.jobs[i].accepted_at > 0 &&
            t > stage.jobs[i].accepted_at + 10 && stage.jobs[i].cancel_asked_at == 0)
            cancel_job(&stage.jobs[i]);
    stage.is_over = t > 90;
}

/* ---- */

static const struct scenario {
    const char *name;
    void (*set)(void);
    void (*step)(double t);
} scenarios[] = {{"cloud-out", set_cloud_out, step_cloud_out},
                 {"ten-leaders", set_ten_leaders, step_ten_leaders},
                 {"slow-images", set_slow_images, step_slow_images},
                 {"newest-first", set_newest_first, step_newest_first}};

bool set_case(const char *name) {
    for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
        if (strcmp(scenarios[i].name, name) == 0) {
            scenarios[i].set();
            step = scenarios[i].step;
            return true;
        }
    return false;
}

void case_step(double t) {
    step(t);
}
