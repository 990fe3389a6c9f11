/** @file
 * The workloads that behaviour_digest runs: the jobs that are submitted, and the faults that occur
 * in addition to the random faults of a scenario.
 *
 * Each function submits jobs to a newly created simulation and runs it to its end. The seed varies
 * times and amounts. A change of a function changes its hashes: two commits can be compared by
 * these hashes only if both contain the change. Called through the table of scenarios. */
#pragma once

#include "simulation/sim.h"

/** Jobs of every kind except services. */
void run_mixed_jobs(struct sim *sim, unsigned long seed);
/** As run_mixed_jobs, but users query often, and query all nodes after each change of a job's
 * state. */
void run_frequent_queries(struct sim *sim, unsigned long seed);
/** Jobs that use the whole fleet, and services at the same time. */
void run_services(struct sim *sim, unsigned long seed);
/** Two teams that submit more than their limits allow; the second starts later and uses its
 * guaranteed quota. */
void run_team_limits(struct sim *sim, unsigned long seed);
/** The key-value store refuses the leader's requests only; then it is unavailable to all nodes,
 * while users cancel jobs. */
void run_leader_refused_by_store(struct sim *sim, unsigned long seed);
/** Jobs are cancelled while the leader's process crashes or the leader resigns. */
void run_cancellations_at_failover(struct sim *sim, unsigned long seed);
/** The leader is paused for 1.5 s and later for 20 s; then a partition separates a leader from the
 * key-value store and the other nodes. */
void run_paused_leader(struct sim *sim, unsigned long seed);
/** A zone is partitioned together with the leader; afterwards no heartbeat reaches the leader; then
 * the cloud is unavailable. */
void run_partitioned_zone(struct sim *sim, unsigned long seed);
/** Hundreds of users query running jobs, more often than the request budget allows. */
void run_query_overload(struct sim *sim, unsigned long seed);
/** Job descriptions that exceed the lowered limit of a value and are stored in parts; a failover.
 */
void run_long_records(struct sim *sim, unsigned long seed);
/** More jobs than the fleet has capacity for, some with a due time, and gangs of whole machines. */
void run_full_fleet(struct sim *sim, unsigned long seed);
/** All tasks of one job fail, and all tasks on every fourth machine. */
void run_failing_tasks(struct sim *sim, unsigned long seed);
/** A rolling upgrade: nodes of the previous version are replaced one after the other; then the
 * limits of the key-value store are lowered. */
void run_rolling_upgrade(struct sim *sim, unsigned long seed);
/** An incomplete upgrade: one node remains at the previous version, so that the cluster can be
 * downgraded until the end; long records are written within the old limits. */
void run_incomplete_upgrade(struct sim *sim, unsigned long seed);
/** About 500 fully used machines; the leader's process crashes, and a later leader is paused. */
void run_large_fleet(struct sim *sim, unsigned long seed);
