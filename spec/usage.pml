/* How the usage of one window is fixed and reported (src/duty, src/replica/replica.cc),
 * three hosts: the leader counts, has its counts committed, sends what is
 * committed under its term, and sends again what was not answered; calls are
 * carried out at once, late, or never.
 *
 * P1: what is taken for the window is the same each time.
 * P2: no two hosts send one token.
 * P3: with the platform's fence, tokens that are taken never fall.
 *
 * Counts are told apart by the term in which they were made: another leader has
 * heard of other entries. A host that is down or cut off is one that is not
 * reached. Left out: time (leases, the order of holders), other windows. */
#ifndef MUTANT
#define MUTANT 0
#endif
/* PART 2 is the model of completeness, below. */
#ifndef PART
#define PART 1
#endif
#if PART == 1
/* 1: what only the leader holds is sent.
 * 2: a new leader counts anew though its log holds the window's counts.
 * 3: the token is the highest that the host has seen, and one.
 * 4: votes are given without looking at the log.
 */
#define N 3
#define MAXTERM 3

byte term[N], vote[N], logterm[N], counts[N];
bool leader[N], committed[N];
/* The platform. */
byte fence = 0, taken = 0, last_token = 0;
byte owner[MAXTERM + 2];
/* One call that is still to be carried out; 0: none. */
byte late_token = 0, late_counts = 0;

inline elect(i) {
  term[i]++; vote[i] = i + 1; leader[i] = false; committed[i] = false;
  n = 1; k = 0;
  do
  :: k < N ->
     if
     :: k != i && term[k] <= term[i] &&
        (term[k] < term[i] || vote[k] == 0) &&
        (MUTANT == 4 || logterm[k] < logterm[i] ||
         (logterm[k] == logterm[i] && (counts[k] == 0 || counts[i] != 0))) ->
        if
        :: term[k] = term[i]; vote[k] = i + 1;
           leader[k] = false; committed[k] = false; n++
        :: skip
        fi
     :: else
     fi; k++
  :: else -> break
  od;
  if
  :: n >= 2 -> leader[i] = true;
     /* Its first entry stands above all that it holds. */
     logterm[i] = term[i];
     if
     :: MUTANT == 2 -> counts[i] = 0
     :: else
     fi
  :: else
  fi
}

inline carry_out(token, what) {
  if
  :: token < fence -> skip
  :: else ->
     assert(token >= last_token); last_token = token;
     fence = token;
     assert(taken == 0 || taken == what);
     taken = what
  fi
}

inline send(i, token) {
  assert(owner[token] == 0 || owner[token] == i + 1);
  owner[token] = i + 1;
  if
  :: carry_out(token, counts[i])
  :: late_token == 0 -> late_token = token; late_counts = counts[i]
  :: skip
  fi
}

proctype Host(byte i) {
  byte n, k, j;
  do
  :: atomic { !leader[i] && term[i] < MAXTERM -> elect(i) }
  :: atomic { leader[i] && counts[i] == 0 -> counts[i] = term[i] }
  :: atomic { leader[i] ->
       if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: j != i && term[j] <= term[i] ->
          if :: term[j] < term[i] -> vote[j] = 0 :: else fi;
          term[j] = term[i]; leader[j] = false; committed[j] = false;
          logterm[j] = logterm[i]; counts[j] = counts[i]
       :: else
       fi }
  :: atomic { leader[i] && counts[i] != 0 && !committed[i] ->
       n = 0; k = 0;
       do
       :: k < N ->
          if
          :: logterm[k] == term[i] && counts[k] == counts[i] -> n++
          :: else
          fi; k++
       :: else -> break
       od;
       if :: n >= 2 -> committed[i] = true :: else fi }
  :: atomic { leader[i] && counts[i] != 0 &&
              (committed[i] || MUTANT == 1) ->
       if
       :: MUTANT == 3 -> if
          :: fence < MAXTERM -> send(i, fence + 1)
          :: else
          fi
       :: else -> send(i, term[i])
       fi }
  :: atomic { leader[i] -> leader[i] = false; committed[i] = false }
  :: atomic { late_token != 0 ->
       carry_out(late_token, late_counts); late_token = 0; late_counts = 0 }
  od
}

init {
  atomic {
    byte b = 0;
    do
    :: b < N -> run Host(b); b++
    :: else -> break
    od
  }
}
#else
/* Completeness (src/duty/usage_processes, usage_copies, usage_schedule): one
 * window, entries that each count one request in it, control processes that
 * hold what entries report.
 *
 * P4: a window that is committed as complete has the counts of all entries that
 * run and that were known, reached or not; and of each entry that is dead, the
 * counts that two control processes held.
 * P5: a window committed at the last moment has all counts that two held.
 *
 * At most one control process is lost or cut off, for good. Entries die at any
 * time; one that is cut off is one that takes no step. Sets of entries are
 * masks. Left out: agreement on the record (above), times, the order of
 * windows. */
#define C 3
#define E 2
#define ALL 3 /* (1 << E) - 1 */
/* 5: the entries that nobody has heard of since the election are forgotten: a
 *    keeper holds counts and no processes.
 * 6: nothing is copied to a keeper.
 * 7: an entry that changes over tells the next control process only news.
 * 8: a new leader does not wait for the others' reports.
 * 9: an entry says that it has finished before it tells its counts.
 * 10: who is known by counts or watch is not waited for.
 */

/* Entries. */
byte counted = 0, finished = 0, dead = 0, told = 0;
byte target[E];
/* Control processes. */
byte held[C], known[C], done[C];
/* What was heard from the entries themselves: this is copied. */
byte direct[C], direct_done[C];
bool lost[C];
byte leader = 0;
/* Control processes that have reported to this leader. */
byte heard = 1;
/* What two control processes have held, and whom two have known. */
byte safe = 0, safe_known = 0;
byte lost_count = 0, elections = 0;
bool committed = false;

#define BIT(e) (1 << (e))
#define OTHERS_HEARD ((heard | (lost[0]) | (lost[1] << 1) | (lost[2] << 2)) == 7)

inline report(e) {
  c = target[e];
  if
  :: MUTANT == 9 && !(held[c] & BIT(e)) && (finished & BIT(e)) ->
     done[c] = done[c] | BIT(e); direct_done[c] = direct_done[c] | BIT(e)
  :: else ->
     if
     :: MUTANT == 7 && (told & BIT(e)) -> skip
     :: else ->
        held[c] = held[c] | (counted & BIT(e));
        direct[c] = direct[c] | (counted & BIT(e));
        if :: MUTANT == 7 -> told = told | (counted & BIT(e)) :: else fi
     fi;
     done[c] = done[c] | (finished & BIT(e));
     direct_done[c] = direct_done[c] | (finished & BIT(e))
  fi;
  known[c] = known[c] | BIT(e); c = 0
}

/* A control process reports all that it holds to the leader. */
inline forward(i) {
  held[leader] = held[leader] | held[i];
  known[leader] = known[leader] | known[i];
  done[leader] = done[leader] | done[i];
  heard = heard | BIT(i);
  safe = safe | held[i];
  safe_known = safe_known | known[i]
}

/* The leader copies to a keeper what entries told it directly, and whom it
 * knows. */
inline copy(i) {
  if
  :: MUTANT == 6 -> skip
  :: else ->
     held[i] = held[i] | direct[leader];
     if :: MUTANT == 5 -> skip
        :: else -> known[i] = known[i] | known[leader] fi;
     done[i] = done[i] | direct_done[leader];
     direct[i] = direct[i] | direct[leader];
     direct_done[i] = direct_done[i] | direct_done[leader]
  fi;
  safe = safe | direct[leader];
  safe_known = safe_known | known[leader]
}

proctype Entry(byte e) {
  byte c;
  do
  :: atomic { !(dead & BIT(e)) && !(finished & BIT(e)) &&
              !(counted & BIT(e)) -> counted = counted | BIT(e) }
  :: atomic { !(dead & BIT(e)) && !(finished & BIT(e)) ->
       finished = finished | BIT(e) }
  :: atomic { !(dead & BIT(e)) && !lost[target[e]] &&
              !committed -> report(e) }
  :: atomic { !(dead & BIT(e)) &&
              lost[target[e]] -> target[e] = (target[e] + 1) % C }
  :: atomic { !(dead & BIT(e)) -> dead = dead | BIT(e) }
  od
}

proctype Group() {
  byte i;
  do
  /* The first process that follows the leader is the keeper. */
  :: atomic { !committed && !lost[leader] ->
       i = 0;
       do
       :: i == leader || lost[i] -> i++
       :: else -> break
       od;
       copy(i); i = 0 }
  :: atomic { !committed && !lost[leader] ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if
       :: i != leader && !lost[i] -> forward(i)
       :: else
       fi; i = 0 }
  :: atomic { lost_count == 0 && !committed ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       lost[i] = true; lost_count++; i = 0 }
  :: atomic { elections < 2 && !committed ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if
       :: i != leader && !lost[i] ->
          leader = i; heard = BIT(i); elections++
       :: else
       fi; i = 0 }
  /* Complete. Whom the leader knows, by a watch or by counts, has finished. */
  :: atomic { !committed && !lost[leader] &&
              (MUTANT == 8 || OTHERS_HEARD) &&
              (known[leader] | held[leader]) != 0 &&
              (MUTANT == 10 && done[leader] != 0 ||
               ((known[leader] | held[leader]) & (ALL - done[leader])) == 0) ->
       committed = true;
       assert((safe_known & (ALL - dead) & counted & (ALL - held[leader])) == 0);
       assert((safe_known & (ALL - dead) & (ALL - finished)) == 0);
       assert((safe & (ALL - held[leader])) == 0) }
  /* The last moment. */
  :: atomic { !committed && !lost[leader] && OTHERS_HEARD ->
       committed = true;
       assert((safe & (ALL - held[leader])) == 0) }
  od
}

init {
  atomic {
    byte b = 0;
    do
    :: b < E -> target[b] = b; run Entry(b); b++
    :: else -> break
    od;
    run Group()
  }
}
#endif
