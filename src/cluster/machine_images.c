#include "cluster/machine_images.h"

#include "base/memory.h"

/* Initial length of a machine's array of images. */
#define INITIAL_CAPACITY 8

static struct rp_image *find_image(const struct rp_machine *machine, uint64_t hash) {
    for (size_t i = 0; i < machine->n_images; i++)
        if (machine->images[i].hash == hash)
            return &machine->images[i];
    return NULL;
}

/* The total size, in GB, of all images of the machine and of a new image of size `gb`. */
static double total_with_new_gb(const struct rp_machine *machine, double gb) {
    double total = gb;
    for (size_t i = 0; i < machine->n_images; i++)
        total += machine->images[i].gb;
    return total;
}

static size_t least_recently_used(const struct rp_machine *machine) {
    size_t oldest = 0;
    for (size_t i = 1; i < machine->n_images; i++)
        if (rp_ts_cmp(machine->images[i].used_at, machine->images[oldest].used_at) < 0)
            oldest = i;
    return oldest;
}

/* Evicts least recently used images until a new image of size `gb` (GB) fits on the disk. */
static void evict_for(const struct rp_cluster *cluster, struct rp_machine *machine, double gb) {
    double cache_gb = machine->type >= 0 ? cluster->catalog->types[machine->type].cache_gb : 0;
    double needed_gb = total_with_new_gb(machine, gb);
    while (machine->n_images > 0 && (machine->n_images == RP_IMAGES_MAX || needed_gb > cache_gb)) {
        size_t oldest = least_recently_used(machine);
        needed_gb -= machine->images[oldest].gb;
        machine->images[oldest] = machine->images[--machine->n_images];
    }
}

void rp_machine_record_image(struct rp_cluster *cluster, struct rp_machine *machine, uint64_t hash,
                             double gb) {
    struct timespec now = rp_loop_now(cluster->loop);
    struct rp_image *existing = find_image(machine, hash);
    if (existing) {
        existing->used_at = now;
        return;
    }
    evict_for(cluster, machine, gb);
    if (machine->n_images == machine->cap_images) {
        machine->cap_images = machine->cap_images ? machine->cap_images * 2 : INITIAL_CAPACITY;
        machine->images = rp_realloc(machine->images, machine->cap_images, sizeof *machine->images);
    }
    machine->images[machine->n_images++] =
        (struct rp_image){.hash = hash, .gb = gb, .used_at = now};
}

bool rp_machine_has_image(const struct rp_machine *machine, uint64_t hash) {
    return find_image(machine, hash) != NULL;
}
