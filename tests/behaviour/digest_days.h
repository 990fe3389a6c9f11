/** @file
 * The days that behaviour_digest plays: what is submitted, and what befalls the nodes besides the
 * random faults of a scenario.
 *
 * Each function submits work to a world that was just made and lets it go on for the whole day. The
 * seed varies the moments and the amounts. A changed day has other hashes: two commits can be
 * compared by it only when both have the change. Called through the table of scenarios. */
#pragma once

#include "simulation/sim.h"

/** Some work of every kind but services. */
void work_day(struct sim *world, unsigned long seed);
/** Users ask often, and at all nodes after each change. */
void curious_day(struct sim *world, unsigned long seed);
/** Work on a full fleet, and services beside it. */
void service_day(struct sim *world, unsigned long seed);
/** Two teams beyond their limits, then one of them takes up its guaranteed quota. */
void team_day(struct sim *world, unsigned long seed);
/** The leader is refused by the key-value store alone, then an outage comes, and users cancel. */
void refused_leader_day(struct sim *world, unsigned long seed);
/** Jobs are cancelled just as the leader's process ends, or its leadership is given up. */
void cancelled_at_failover_day(struct sim *world, unsigned long seed);
/** The leader stands still for a short and a long while, and then loses the store and
 * the other nodes. */
void silent_leader_day(struct sim *world, unsigned long seed);
/** A zone is cut off with a node in it, later a node that no heartbeat reaches; some heartbeats
 * wait. */
void cut_zone_day(struct sim *world, unsigned long seed);
/** Hundreds of users ask about running jobs, more than the request budget lets
 * through. */
void many_questions_day(struct sim *world, unsigned long seed);
/** Descriptions too long for one value of the lowered limits, stored in parts, and a failover. */
void long_records_day(struct sim *world, unsigned long seed);
/** More work than capacity, and gangs of whole machines, some with a time by which they are due. */
void full_fleet_day(struct sim *world, unsigned long seed);
/** Some machines and some jobs are bad: what runs there, or of them, fails. */
void bad_work_day(struct sim *world, unsigned long seed);
/** Nodes of the version before are replaced one after the other; then the limits come down. */
void roll_day(struct sim *world, unsigned long seed);
/** Long records are written within the old limits; one node keeps the way back open to the end. */
void held_roll_day(struct sim *world, unsigned long seed);
/** About 500 machines full of work; the leader's process ends, and another one stands still. */
void large_fleet_day(struct sim *world, unsigned long seed);
