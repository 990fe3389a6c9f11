/** @file
 * Which machines hold the images of the waiting work. Hundreds of jobs share a few images: which
 * machines hold one is found once for all of them. Names are told apart by their hashes, as what a
 * wrong guess costs is a fetch. */
#ifndef RP_SCHEDULER_IMAGE_INPUT_H
#define RP_SCHEDULER_IMAGE_INPUT_H

#include "scheduler/cycle_input.h"

/** Fills `has_image` of all groups. Caller has built the machines and groups. When memory is short
 * the input's `has_image` stays NULL. */
void rp_image_input_build(struct rp_cycle_input *input);

#endif
