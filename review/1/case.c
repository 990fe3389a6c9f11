/* Case 1: a service of as many replicas as PROTOCOL allows, all of which fit on one machine, stops
 * every controller in turn; the jobs of other users are left waiting. */
#include "platform.h"

#define UNANSWERED_MAX_S 75.0
#define WAIT_MAX_S 90.0
#define ROOM_CHECK_S 0.25
#define REPLICAS 100000
#define REPLICAS_WITHOUT_TROUBLE 100

/* Of the site kowhai-registry; the machines' counts are ordinary and spot ones together. */
static const char *const zones[] = {"kaikoura", "rimutaka", "tarawera"};
static const struct frame frames[] = {
    {"kea-small", 8, 0, 32, 0.36, 0.11, 35, 0.3, {5, 5, 5}},
    {"moa-wide", 64, 0, 256, 3.11, 0.93, 50, 0.6, {1, 1, 1}},
};
static const char teams[] =
    "[{\"name\":\"platform-crew\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0},"
    "{\"name\":\"harbourlab-guests\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}]";

static struct platform platform;
static struct job *waiting;
static double waits_since, checked_at;
static bool is_wait_told;

/* The rule: "once all troubles are over, a job about which no question is answered for 75 s counts
 * as forgotten, however others fare". The only trouble, the submission of the service, is over once
 * the service is accepted. The job is also left waiting for more than 90 s beside room for it,
 * which is told in the record. */
static void step(struct platform *self, double now) {
    if (now - checked_at < ROOM_CHECK_S)
        return;
    checked_at = now;
    bool is_left_waiting = waiting->accepted && waiting->n_starts == 0;
    if (!is_left_waiting || !platform_has_room_for(self, waiting))
        waits_since = now;
    if (now - waits_since > WAIT_MAX_S && !is_wait_told) {
        is_wait_told = true;
        platform_note(self, "%s is left waiting for 90 s beside room for it", waiting->ref);
    }
    if (waiting->done)
        platform_finish(self, 0, "the job that came after the service is done");
    if (waiting->accepted && now - waiting->answered_at > UNANSWERED_MAX_S)
        platform_finish(self, 1, "no question about an accepted job was answered for 75 s");
}

int main(int argc, char **argv) {
    if (argc != 3)
        return 2;
    const struct platform_options options = {.program = "target/ridgepulley",
                                             .record = argv[1],
                                             .directory = argv[2],
                                             .team_settings = teams,
                                             .frames = frames,
                                             .n_frames = 2,
                                             .zones = zones,
                                             .n_zones = 3,
                                             .boot_s = 1.5};
    platform_start(&platform, &options, step);
    /* Fits on a moa-wide only, so that one is rented. */
    platform_add_job(&platform, &(struct job_options){.rig = "mirror-sync-array",
                                                      .crew = "platform-crew",
                                                      .haul = "sweep",
                                                      .precedence = "normal",
                                                      .payload = "img-01",
                                                      .lifts = 1,
                                                      .vcpus = 10,
                                                      .memory_gb = 36,
                                                      .run_guess_s = 60,
                                                      .run_s = 60,
                                                      .submit_at = 1.5});
    platform_add_job(
        &platform,
        &(struct job_options){.rig = "harbourlab-pings",
                              .crew = "harbourlab-guests",
                              .haul = "service",
                              .precedence = "low",
                              .payload = "img-02",
                              .lifts = platform_has_trouble() ? REPLICAS : REPLICAS_WITHOUT_TROUBLE,
                              .vcpus = 0.0005,
                              .memory_gb = 0.002,
                              .submit_at = 6});
    waiting = platform_add_job(&platform, &(struct job_options){.rig = "mirror-sync-array",
                                                                .crew = "platform-crew",
                                                                .haul = "sweep",
                                                                .precedence = "normal",
                                                                .payload = "img-03",
                                                                .lifts = 2,
                                                                .vcpus = 1,
                                                                .memory_gb = 3.6,
                                                                .run_guess_s = 5,
                                                                .run_s = 5,
                                                                .submit_at = 10});
    return platform_run(&platform);
}
