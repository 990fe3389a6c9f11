/** @file
 * Formula (1) of the paper: what the machines cost until the end of their planned work. */
#ifndef RP_SCHEDULER_PLAN_COST_H
#define RP_SCHEDULER_PLAN_COST_H

struct rp_packing;

/** Seconds that a machine costs at least, however early it is released (PROTOCOL, price). */
#define RP_MIN_CHARGE_S 60.0

/** Cost of a machine by formula (1): price (per hour) times the billing units, of `unit_s` seconds,
 * from its start, `age_s` seconds ago, to the end of its work in `end_s` seconds. */
double rp_plan_machine_cost(double price, double age_s, double end_s, double unit_s);
/** Adds the cost of all machines, at hand and new, to the plan's. */
void rp_plan_cost_add(struct rp_packing *packing);

#endif
