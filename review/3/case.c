/* Case 3: the state service has seen 2^31 changes, and the leading controller crashes: nothing is
 * started any more. */
#include <inttypes.h>
#include "platform.h"

#define WAIT_MAX_S 90.0
#define ROOM_CHECK_S 0.25
/* The revision is this many changes below 2^31 at the start of the run. */
#define CHANGES_BEFORE 9
#define LIMIT (UINT64_C(1) << 31)
#define CRASH_AT_S 8.0
#define BACK_AFTER_S 3.0

/* Of the site kowhai-registry. */
static const char *const zones[] = {"kaikoura", "rimutaka", "tarawera"};
static const struct frame frames[] = {
    {"kea-small", 8, 0, 32, 0.36, 0.11, 35, 0.3, {5, 5, 5}},
    {"moa-wide", 64, 0, 256, 3.11, 0.93, 50, 0.6, {1, 1, 1}},
};
static const char teams[] =
    "[{\"name\":\"platform-crew\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}]";

static struct platform platform;
static struct job *before, *waiting;
static double waits_since, checked_at;
static bool has_crashed;

/* Without the trouble, the same changes are made, but no controller crashes. */
static void crash_leader_when_due(struct platform *self, double now) {
    int leader = platform_leader(self);
    uint64_t revision = store_revision(self->store);
    if (has_crashed || now < CRASH_AT_S || revision < LIMIT || !before->done || leader < 0)
        return;
    has_crashed = true;
    platform_note(self, "the store's revision is %" PRIu64, revision);
    if (platform_has_trouble())
        platform_crash(self, leader, BACK_AFTER_S);
    waiting->submit_at = now + BACK_AFTER_S + 1;
}

/* The rule: "no job is left waiting for 90 s while a machine that fits has room and its team is
 * under its limit". */
static void step(struct platform *self, double now) {
    crash_leader_when_due(self, now);
    if (now - checked_at < ROOM_CHECK_S)
        return;
    checked_at = now;
    bool is_left_waiting = waiting->accepted && waiting->n_starts == 0;
    if (!is_left_waiting || !platform_has_room_for(self, waiting))
        waits_since = now;
    if (now - waits_since > WAIT_MAX_S)
        platform_finish(self, 1, "an accepted job was left waiting for 90 s beside room for it");
    if (waiting->done)
        platform_finish(self, 0, "the job that came after is done");
}

int main(int argc, char **argv) {
    if (argc != 3)
        return 2;
    const struct platform_options options = {.program = "target/ridgepulley",
                                             .record = argv[1],
                                             .directory = argv[2],
                                             .team_settings = teams,
                                             .first_revision = LIMIT - CHANGES_BEFORE,
                                             .frames = frames,
                                             .n_frames = 2,
                                             .zones = zones,
                                             .n_zones = 3,
                                             .boot_s = 1.5};
    struct job_options job = {.rig = "mirror-sync-array",
                              .crew = "platform-crew",
                              .haul = "sweep",
                              .precedence = "normal",
                              .payload = "img-01",
                              .lifts = 2,
                              .vcpus = 1,
                              .memory_gb = 3.6,
                              .run_guess_s = 2,
                              .run_s = 2,
                              .submit_at = 1};
    platform_start(&platform, &options, step);
    before = platform_add_job(&platform, &job);
    job.submit_at = 1e9; /* set by crash_leader_when_due */
    waiting = platform_add_job(&platform, &job);
    return platform_run(&platform);
}
