/**
 * @file
 * Parser for one JSON value with comments, used for configuration items and
 * settings. Text after the value is a defect; otherwise a file that was pasted
 * together by mistake would be accepted by its first value alone.
 *
 * @code
 * struct json_object *root = cyc_json_parse (text, place, &found);
 * if (root != NULL)
 *   use (root);
 * json_object_put (root);
 * @endcode
 * Errors: every defect is reported as a finding at "PLACE: $". If the only
 * defect is text after the value, the value is still returned, so callers must
 * check the findings too.
 */
#ifndef CYC_JSON_H
#define CYC_JSON_H

#include <cyclamendrum/base.h>
#include <json-c/json.h>

/** Parses @p body. Returns a JSON value that the caller releases with
 * json_object_put(), or NULL. */
struct json_object *cyc_json_parse (struct cyc_str body, struct cyc_str place,
                                    struct cyc_findings *findings);

#endif
