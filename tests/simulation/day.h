/* Helps the tests of the simulated world to say what a day is like: a world without random faults,
 * its work, its leader, and its end. The rules are checked after each step (rules.c). */
#ifndef RP_DAY_H
#define RP_DAY_H

#include "sim.h"

#define DAY_REST_S                                                                                 \
    250 /* after the faults, all that was accepted comes to its end within this time */

extern const struct sim_faults day_no_faults;
/* Longer leases and more requests of the store than usual, as the operators have them. */
extern const struct sim_size day_large_limits;

/* A node's answer to a request that a test makes itself: `req` comes with respond =
 * day_keep_answer. */
struct day_answer {
    struct rp_request req;
    int status;
    char body[8192];
};
void day_keep_answer(struct rp_request *req, int status, const char *body, int retry_after);

/* A world of the usual size in which nothing goes wrong by itself. */
struct sim *day_new(unsigned long seed, int n_nodes);
/* Takes the limit of the team with a limit away. */
void day_lift_team_limit(struct sim *sim);
/* Submits `count` arrays of `tasks` tasks, one each `every_s` seconds from `first_at` on. */
void day_submit_arrays(struct sim *sim, int count, double first_at, double every_s, unsigned tasks,
                       double cpus, double run_s);
/* Work of every kind over the first 80 s; some of it is cancelled at times that the seed decides.
 */
void day_submit_mixed_work(struct sim *sim, unsigned long seed);
/* Work of every kind within the first 30 s, long enough to be met by faults. */
void day_submit_long_work(struct sim *sim, double run_s);
/* A minute's arrays and a gang. */
void day_submit_array_stream(struct sim *sim, double from);
/* Services that are cancelled two to four minutes later. */
void day_submit_services(struct sim *sim, double from);
/* Fails the test if a rule is broken. */
void day_expect_sound(struct sim *sim, unsigned long seed);
/* Lets the world go on; a rule that breaks fails the test. */
void day_run(struct sim *sim, double seconds);
/* Ends all faults, lets everything that was accepted come to its end, and frees the world. */
void day_end(struct sim *sim);
/* There must be one. */
struct rp_node *day_leader(const struct sim *sim);
/* Ends the leader's process; where nobody leads just then, the next one's. */
void day_crash_leader(struct sim *sim, double back_s);
int day_running_tasks(const struct sim *sim, int job);
int day_all_running_tasks(const struct sim *sim);

#endif
