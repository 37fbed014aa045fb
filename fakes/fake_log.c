/**
 * @file
 * Main program of the fake log service; see fk_log.h.
 */
#include "fk_log.h"

#include <stdio.h>

int
main (int argc, char **argv)
{
  static struct fk_log log;
  struct fk_program program = { 0 };
  struct cyc_findings findings = { 0 };

  if (!fk_program_start (&program, argc, argv))
    return 2;
  if (!fk_log_setup (&log, program.loop, program.port, &findings))
    {
      fprintf (stderr, "fake-log: %s\n", findings.rows[0].text);
      return 1;
    }
  fk_program_run (&program, fk_port (&log.hs));
  fk_log_shutdown (&log);
  return 0;
}
