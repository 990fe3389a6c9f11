#include "scheduler/cycle_input.h"

#include <stdlib.h>

void rp_cycle_input_free(struct rp_cycle_input *input) {
    free(input->offerings);
    free(input->machines);
    free(input->groups);
    free(input->teams);
    free(input->has_image);
    free(input->images);
    free(input->releases);
    free(input->holdings);
    free(input->guarantees_left);
}
