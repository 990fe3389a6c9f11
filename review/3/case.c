/* Case 3: a guest team's service holds what it has borrowed, and a job of the team that is
 * guaranteed this capacity waits for as long as the service lives. */
#include "platform.h"

#define WAIT_MAX_S 90.0

/* A small deployment: the cloud has two kea-small to give, which is what platform-crew is
 * guaranteed. */
static const char *const zones[] = {"kaikoura", "rimutaka", "tarawera"};
static const struct frame frames[] = {
    {"kea-small", 8, 0, 32, 0.36, 0.11, 35, 0.3, {1, 1, 0}},
};
static const char teams[] =
    "[{\"name\":\"platform-crew\",\"cpus\":16.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0},"
    "{\"name\":\"harbourlab-guests\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}]";

static struct platform platform;
static struct job *guests, *guaranteed;

/* The rule: "while all its unfinished jobs together fit within that, they need not wait for other
 * teams", and what a team borrows it "must give back". DEPLOY sets no time for the giving back; 90
 * s are what hunt/LATER.md allows a job that need not wait. */
static void step(struct platform *self, double now) {
    if (guaranteed->done)
        platform_finish(self, 0, "the guaranteed team's job is done");
    if (guaranteed->accepted && guaranteed->n_starts == 0 &&
        now - guaranteed->accepted_at > WAIT_MAX_S)
        platform_finish(self, 1, "a guaranteed team's job waited 90 s for another team's service");
}

int main(int argc, char **argv) {
    if (argc != 3)
        return 2;
    const struct platform_options options = {.program = "target/ridgepulley",
                                             .record = argv[1],
                                             .directory = argv[2],
                                             .team_settings = teams,
                                             .frames = frames,
                                             .n_frames = 1,
                                             .zones = zones,
                                             .n_zones = 3,
                                             .boot_s = 1.5};
    platform_start(&platform, &options, step);
    /* Without the trouble, the guests' work has the same size and is an array. */
    bool is_service = platform_has_trouble();
    guests =
        platform_add_job(&platform, &(struct job_options){.rig = "harbourlab-soak",
                                                          .crew = "harbourlab-guests",
                                                          .haul = is_service ? "service" : "sweep",
                                                          .precedence = "low",
                                                          .payload = "img-01",
                                                          .lifts = 8,
                                                          .vcpus = 2,
                                                          .memory_gb = 7.2,
                                                          .run_guess_s = is_service ? 0 : 300,
                                                          .run_s = 300,
                                                          .submit_at = 1.5});
    guaranteed = platform_add_job(&platform, &(struct job_options){.rig = "mirror-sync-array",
                                                                   .crew = "platform-crew",
                                                                   .haul = "sweep",
                                                                   .precedence = "normal",
                                                                   .payload = "img-02",
                                                                   .lifts = 4,
                                                                   .vcpus = 2,
                                                                   .memory_gb = 7.2,
                                                                   .run_guess_s = 5,
                                                                   .run_s = 5,
                                                                   .submit_at = 15});
    return platform_run(&platform);
}
