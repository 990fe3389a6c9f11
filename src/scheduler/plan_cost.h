/** @file
 * Formula (1) of the paper: the cost of the machines until the end of their planned work. */
#ifndef RP_SCHEDULER_PLAN_COST_H
#define RP_SCHEDULER_PLAN_COST_H

struct rp_packing;

/** Least time, in seconds, that is charged for a machine, however early it is released (PROTOCOL,
 * price). */
#define RP_MIN_CHARGE_S 60.0

/** Cost of a machine by formula (1): price (per hour) times the time charged, in whole billing
 * units of `billing_unit_s` seconds, from its start, `age_s` seconds ago, to the end of its work in
 * `end_s` seconds. At least RP_MIN_CHARGE_S is charged. */
double rp_plan_machine_cost(double price, double age_s, double end_s, double billing_unit_s);
/** Adds the cost of all existing and new machines to the plan's cost. */
void rp_plan_cost_add(struct rp_packing *packing);

#endif
