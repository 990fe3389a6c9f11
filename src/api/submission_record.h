/** @file
 * Makes the stored record of an accepted submission. The store limits the size of a value: a record
 * that is too large is made shorter without a change of its meaning, or split into parts that are
 * written in the same transaction. */
#ifndef RP_API_SUBMISSION_RECORD_H
#define RP_API_SUBMISSION_RECORD_H

#include "model/catalog.h"
#include "store/records.h"
#include "upgrade/format_upgrade.h"

/** The pieces in which a record is written; mostly one piece. */
struct rp_submission_pieces {
    json_t *values[RP_PARTS_MAX]; /* the job record first, then its further parts; owned by the code
                                     that writes them */
    size_t n;                     /* 0: no transaction can hold the record */
};

/** Makes the record of a job that is accepted now, in pieces of at most `value_max_bytes` and no
 * more pieces than a transaction may have. Before RP_FORMAT is activated no node reads parts, so a
 * record too large for one value gets no pieces. Repeated machine types, and those that are not in
 * the catalog, may be removed from `spec`. */
void rp_submission_record(const struct rp_upgrade *upgrade, const struct rp_catalog *catalog,
                          struct rp_job_spec *spec, size_t value_max_bytes,
                          struct rp_submission_pieces *out);
/** The maximum size of a value in bytes. Before RP_FORMAT is active it is the store's current
 * limit; afterwards it is the lower one of the current and the future limit. */
size_t rp_submission_value_max_bytes(const struct rp_upgrade *upgrade);

#endif
