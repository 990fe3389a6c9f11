/* Case 2: a job of a guaranteed team whose one task asks for no resources sends every controller in
 * turn into an endless loop. */
#include "platform.h"

#define UNANSWERED_MAX_S 75.0
#define WAIT_MAX_S 90.0
#define ROOM_CHECK_S 0.25
#define SMALL_AMOUNT 0.1

/* Of the site kowhai-registry, without moa-wide; the counts are ordinary and spot ones together. */
static const char *const zones[] = {"kaikoura", "rimutaka", "tarawera"};
static const struct frame frames[] = {
    {"kea-small", 8, 0, 32, 0.36, 0.11, 35, 0.3, {5, 5, 5}},
    {"tui-gpu", 24, 4, 144, 10.51, 3.23, 40, 0.2, {4, 3, 4}},
};
static const char teams[] =
    "[{\"name\":\"platform-crew\",\"cpus\":16.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}]";

static struct platform platform;
static struct job *waiting;
static double waits_since, checked_at;
static bool is_wait_told;

/* The rule: "once all troubles are over, a job about which no question is answered for 75 s counts
 * as forgotten, however others fare". The only trouble, the submission of the job without
 * resources, is over once that job is accepted. The other job is also left waiting for more than
 * 90 s beside room for it, which is told in the record. */
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
        platform_finish(self, 0, "the job that came after is done");
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
    double amount = platform_has_trouble() ? 0 : SMALL_AMOUNT;
    platform_start(&platform, &options, step);
    platform_add_job(&platform, &(struct job_options){.rig = "layer-embed-array",
                                                      .crew = "platform-crew",
                                                      .haul = "sweep",
                                                      .precedence = "normal",
                                                      .payload = "img-01",
                                                      .lifts = 1,
                                                      .vcpus = 5,
                                                      .cards = 1,
                                                      .memory_gb = 27,
                                                      .run_guess_s = 30,
                                                      .run_s = 40,
                                                      .submit_at = 1.5});
    platform_add_job(&platform, &(struct job_options){.rig = "mirror-probe",
                                                      .crew = "platform-crew",
                                                      .haul = "sweep",
                                                      .precedence = "normal",
                                                      .payload = "img-02",
                                                      .lifts = 1,
                                                      .vcpus = amount,
                                                      .memory_gb = amount,
                                                      .run_guess_s = 60,
                                                      .run_s = 5,
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
                                                                .submit_at = 9});
    return platform_run(&platform);
}
