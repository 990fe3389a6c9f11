/** @file
 * The platform's JSON file: a node's addresses, the other nodes, teams, zones, and the limits of
 * the cloud and the key-value store. Called by main.c. */
#ifndef RP_CONFIG_PLATFORM_FILE_H
#define RP_CONFIG_PLATFORM_FILE_H

#include <stdio.h>
#include "config/settings.h"

/** Clears the settings, sets the operators' to their defaults, and reads all others from `text`.
 * Fields that this version doesn't know are passed over. Returns the number of mistakes, each
 * written to `errors` as a line that begins with `file`. The caller must rp_settings_free the
 * settings in any case. */
int rp_platform_file_parse(struct rp_settings *settings, const char *text, const char *file,
                           FILE *errors);

#endif
