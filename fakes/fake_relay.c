/**
 * @file
 * Main program of the TCP relay; see fk_relay.h. `--file` names the JSON file
 * with the port pairs.
 */
#include "fk_relay.h"

#include <signal.h>
#include <stdio.h>

int
main (int argc, char **argv)
{
  static struct fk_relay relay;
  struct fk_program program = { 0 };
  struct cyc_findings findings = { 0 };

  if (!fk_program_start (&program, argc, argv))
    return 2;
  signal (SIGPIPE, SIG_IGN);
  if (!fk_relay_setup (&relay, program.loop, program.port, &findings))
    {
      fprintf (stderr, "fake-relay: %s\n", findings.rows[0].text);
      return 1;
    }
  if (program.file == NULL || !fk_relay_load (&relay, program.file))
    {
      fprintf (stderr,
               "fake-relay: --file is absent or has no port pairs, or a port "
               "cannot be bound\n");
      return 2;
    }
  fk_program_run (&program, fk_port (&relay.hs));
  fk_relay_shutdown (&relay);
  return 0;
}
