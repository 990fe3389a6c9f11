#include "scheduler/array_packing.h"

#include "scheduler/new_machine_packing.h"
#include "scheduler/packing.h"
#include "scheduler/plan_resources.h"

/* Longest time that a task may wait for capacity on a machine that has its image, as a share of the
 * time of a fetch on another machine. */
#define IMAGE_WAIT_FETCH_TIME_SHARE 1.0
/* Share of a task's time, including its fetch, for which a machine's GPU work must still run before
 * the task may use the machine's spare capacity. */
#define SPARE_TASK_TIME_SHARE 0.7

/* Places as many tasks as fit on the machine's capacity that is free now or, with `later`, on the
 * capacity that is free later. */
static void place_on_machine(struct rp_packing *packing, struct rp_group_packing *current,
                             size_t machine_index, bool later) {
    const struct rp_plan_machine *machine = &packing->input->machines[machine_index];
    const struct rp_plan_group *group = current->group;
    if (!rp_plan_group_may_use_machine(group, machine))
        return;
    uint32_t n_fitting = rp_packing_zone_limit(current, machine->zone);
    n_fitting = rp_packing_n_fitting(packing, current, machine_index,
                                     &packing->bins[machine_index].free_later, n_fitting);
    if (!later)
        n_fitting = rp_packing_n_fitting(packing, current, machine_index,
                                         &packing->bins[machine_index].free_now, n_fitting);
    if (n_fitting == 0)
        return;
    double end_s = (later ? machine->free_later_after_s : 0) + group->run_s +
                   rp_plan_fetch_s(group, machine->fetch_gb_per_s,
                                   group->has_image && group->has_image[machine_index]);
    rp_packing_place(packing, current, machine_index, n_fitting, !later, end_s);
}

/* Places tasks on machines that have the image and will have free capacity before a fetch on
 * another machine could end. Waiting for them delays no task and avoids paying for the time of the
 * fetch. */
static void place_on_machines_with_image(struct rp_packing *packing,
                                         struct rp_group_packing *current) {
    const struct rp_plan_group *group = current->group;
    /* Work of a high or critical priority does not wait, because it can get capacity by preemption,
     * and its results were worse when it waited for machines with the image. */
    if (group->priority >= RP_PRIORITY_HIGH)
        return;
    const struct rp_candidate_list *list = &packing->lists[packing->group_list[current->index]];
    for (size_t i = 0; i < list->n[RP_CAPACITY_LATER] && current->n_left > 0; i++) {
        size_t machine_index = list->machines[RP_CAPACITY_LATER][i];
        packing->plan->n_machines_examined++;
        const struct rp_plan_machine *machine = &packing->input->machines[machine_index];
        /* The cheap checks come first: under overload hardly any machine has free capacity. */
        if (group->has_image && group->has_image[machine_index] &&
            rp_plan_n_fitting(&group->task_resources, &packing->bins[machine_index].free_later,
                              1) &&
            rp_plan_machine_fits_after_s(machine, &group->task_resources) <
                IMAGE_WAIT_FETCH_TIME_SHARE *
                    rp_plan_fetch_s(group, machine->fetch_gb_per_s, false))
            place_on_machine(packing, current, machine_index, true);
    }
}

void rp_array_packing_place_on_existing(struct rp_packing *packing,
                                        struct rp_group_packing *current, bool later) {
    const struct rp_candidate_list *list = &packing->lists[packing->group_list[current->index]];
    enum rp_capacity_kind kind = later ? RP_CAPACITY_LATER : RP_CAPACITY_NOW;
    for (int with_image = 1; with_image >= 0; with_image--) {
        if (!later && !with_image)
            place_on_machines_with_image(packing, current);
        for (size_t i = 0; i < list->n[kind] && current->n_left > 0; i++) {
            size_t machine_index = list->machines[kind][i];
            packing->plan->n_machines_examined++;
            bool has_image = current->group->has_image && current->group->has_image[machine_index];
            if (has_image == (with_image == 1))
                place_on_machine(packing, current, machine_index, later);
        }
    }
}

static bool may_use_spare(const struct rp_plan_group *group, const struct rp_plan_machine *machine,
                          bool has_image) {
    bool is_allowed = (group->spare_types >> machine->type & 1) &&
                      (group->zones >> machine->zone & 1) && (!machine->spot || group->spot);
    if (!is_allowed || machine->reserved_for)
        return false;
    double task_s = group->run_s + rp_plan_fetch_s(group, machine->fetch_gb_per_s, has_image);
    return !(machine->gpu_busy_s < SPARE_TASK_TIME_SHARE * task_s);
}

/* The CPUs that a machine's GPU work leaves free cost nothing extra, which is why work that needs
 * no GPUs may use them if the GPU work on the machine lasts for SPARE_TASK_TIME_SHARE of the task's
 * time. Only the GPU work counts: when all work on the machine counted, work without GPUs kept the
 * machine eligible for more such work, and a third of the GPU machines were kept for minutes after
 * the last GPU task had ended. */
static void place_on_spare_capacity(struct rp_packing *packing, struct rp_group_packing *current) {
    const struct rp_plan_group *group = current->group;
    const struct rp_candidate_list *list = &packing->lists[packing->spare_list[current->index]];
    if (!group->spare_types)
        return;
    for (int with_image = 1; with_image >= 0; with_image--)
        for (size_t i = 0; i < list->n[RP_CAPACITY_SPARE] && current->n_left > 0; i++) {
            size_t machine_index = list->machines[RP_CAPACITY_SPARE][i];
            packing->plan->n_machines_examined++;
            const struct rp_plan_machine *machine = &packing->input->machines[machine_index];
            bool has_image = group->has_image && group->has_image[machine_index];
            if (has_image != (with_image == 1) || !may_use_spare(group, machine, has_image))
                continue;
            uint32_t n_fitting = rp_packing_n_fitting(
                packing, current, machine_index, &packing->bins[machine_index].free_spare,
                rp_packing_zone_limit(current, machine->zone));
            n_fitting = rp_packing_n_fitting(packing, current, machine_index,
                                             &packing->bins[machine_index].free_now, n_fitting);
            if (n_fitting > 0)
                rp_packing_place(packing, current, machine_index, n_fitting, true, 0);
        }
}

void rp_array_packing_place(struct rp_packing *packing, struct rp_group_packing *current) {
    rp_array_packing_place_on_existing(packing, current, false);
    place_on_spare_capacity(packing, current);
    rp_array_packing_place_on_existing(packing, current, true);
    rp_new_machine_packing_place(packing, current);
    if (current->n_left > 0 && !current->group->is_guaranteed &&
        rp_new_machine_packing_can_wait(packing, current))
        return;
    rp_new_machine_packing_place_rest(packing, current);
}
