/** @file
 * Determines which machines have the images of the waiting work. Hundreds of jobs share a few
 * images, which is why the machines are determined once for each image. Image names are
 * distinguished by their hashes only: a collision costs no more than a fetch. */
#ifndef RP_SCHEDULER_IMAGE_INPUT_H
#define RP_SCHEDULER_IMAGE_INPUT_H

#include "scheduler/cycle_input.h"

/** Sets `has_image` of all groups. The caller has built the machines and groups. When memory is
 * short, leaves the input's `has_image` NULL. */
void rp_image_input_build(struct rp_cycle_input *input);

#endif
