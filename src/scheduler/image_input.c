#include "scheduler/image_input.h"

#include <stdlib.h>

static int compare_hashes(const void *a, const void *b) {
    const uint64_t *left = a;
    const uint64_t *right = b;
    return *left < *right ? -1 : *left > *right;
}

/* Index of the image in `images`, or n_images if no group needs it. */
static size_t image_index(const struct rp_cycle_input *input, uint64_t hash) {
    const uint64_t *found =
        bsearch(&hash, input->images, input->n_images, sizeof hash, compare_hashes);
    return found ? (size_t)(found - input->images) : input->n_images;
}

static bool list_images(struct rp_cycle_input *input) {
    input->images = calloc(input->plan_input.n_groups + 1, sizeof *input->images);
    if (!input->images)
        return false;
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        input->images[g] = ((const struct rp_job *)input->groups[g].ref)->image_hash;
    qsort(input->images, input->plan_input.n_groups, sizeof *input->images, compare_hashes);
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        if (g == 0 || input->images[g] != input->images[input->n_images - 1])
            input->images[input->n_images++] = input->images[g];
    return true;
}

void rp_image_input_build(struct rp_cycle_input *input) {
    size_t n = input->plan_input.n_machines;
    if (!list_images(input))
        return;
    input->has_image = calloc(input->n_images * n + 1, sizeof(bool));
    if (!input->has_image)
        return;
    for (size_t m = 0; m < n; m++) {
        const struct rp_machine *machine = input->machines[m].ref;
        for (size_t i = 0; machine && i < machine->n_images; i++) {
            size_t image = image_index(input, machine->images[i].hash);
            if (image < input->n_images)
                input->has_image[image * n + m] = true;
        }
    }
    for (size_t g = 0; g < input->plan_input.n_groups; g++) {
        const struct rp_job *job = input->groups[g].ref;
        input->groups[g].has_image = &input->has_image[image_index(input, job->image_hash) * n];
    }
}
