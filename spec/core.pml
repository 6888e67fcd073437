/* The at-most-once protocol between entry, agent, ledger and upstream, for
 * one idempotency key. The agent runs one loop, so each event below is
 * atomic. Events come in any order the protocol allows, and the agent may
 * crash at any point: what is in flight is forgotten, the synced ledger is
 * kept, and what the upstream executed stays executed.
 *
 * Safety properties, asserted where they could fail:
 *   P1 the upstream executes the request at most once;
 *   P2 a caller told "not run" is told so only while it has not run.
 * Mutants (checked to fail, in tools/model-check.sh):
 *   MUTANT 1: the agent sends before the start is synced in the ledger;
 *   MUTANT 2: libcurl may resend on a fresh connection (no at-most-once
 *             guard in the pre-request callback). */

#ifndef MUTANT
#define MUTANT 0
#endif
#define ARRIVALS 3   /* the first request and two resends */

byte executions = 0;
bool started = false;    /* ledger, synced: the key has started */
bool done = false;       /* ledger, synced: the answer is stored */
bool inflight = false;   /* agent memory: a call is out to the upstream */
bool sent = false;       /* agent memory: the pre-request callback ran */
bool recorded = false;   /* agent memory: start synced for this call */
byte arrivals = 0;

active proctype Agent() {
  do
  :: atomic { arrivals < ARRIVALS ->
       arrivals++;
       if
       :: done -> skip                 /* replay the stored answer */
       :: !done && started -> skip     /* still running, or outcome unknown */
       :: !done && !started && !inflight ->
#if MUTANT == 1
          inflight = true; sent = false; recorded = false
#else
          started = true; inflight = true; sent = false; recorded = true
#endif
       :: !done && !started && inflight -> skip  /* still running */
       fi }
#if MUTANT == 1
  :: atomic { inflight && !recorded -> started = true; recorded = true }
#endif
  :: atomic { inflight && !sent -> sent = true; executions++;
       assert(executions <= 1) }                        /* P1 */
#if MUTANT == 2
  :: atomic { inflight && sent -> executions++; assert(executions <= 1) }
#endif
  :: atomic { inflight && !sent ->                      /* connect failed */
       assert(executions == 0);                         /* P2: not_run */
       inflight = false; started = false }              /* abandon the key */
  :: atomic { inflight && sent && recorded -> done = true; inflight = false }
  :: atomic { inflight -> inflight = false; sent = false; recorded = false }
                                                       /* crash, restart */
  :: atomic { arrivals >= ARRIVALS && !inflight -> break }
  od
}
