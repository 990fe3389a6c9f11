#include "cluster/unknown_tasks.h"

#include "base/memory.h"

void rp_machine_clear_unknown_tasks(struct rp_cluster *cluster, struct rp_machine *machine) {
    cluster->n_machines_with_unknown_tasks -= machine->n_unknown_not_exited > 0;
    machine->n_unknown_tasks = machine->n_unknown_not_exited = 0;
}

bool rp_machine_add_unknown_task(struct rp_cluster *cluster, struct rp_machine *machine,
                                 const struct rp_unknown_task *unknown_task) {
    if (!machine->unknown_tasks)
        machine->unknown_tasks = rp_alloc(RP_UNKNOWN_TASKS_MAX, sizeof *machine->unknown_tasks);
    bool is_full = machine->n_unknown_tasks == RP_UNKNOWN_TASKS_MAX;
    if (is_full || !unknown_task->exited) {
        cluster->n_machines_with_unknown_tasks += machine->n_unknown_not_exited == 0;
        machine->n_unknown_not_exited++;
    }
    if (is_full)
        return false;
    machine->unknown_tasks[machine->n_unknown_tasks++] = *unknown_task;
    return true;
}
