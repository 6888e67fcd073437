/* The list of upstreams as it spreads by differences (src/upstream_list): two
 * sources, of which one may take over the other's whole list, and one holder
 * that asks either with the version it holds. Answers may be lost, come late
 * and come twice.
 *
 * P1: whatever the holder takes over, it holds the list that the version names.
 * P2: once the lists rest, two answers bring the holder to the source's list.
 *
 * A list is two upstreams that are there or not: a number of two bits. Left
 * out: what an entry says besides, hashes that collide, more than one change
 * kept by a source. */
#ifndef MUTANT
#define MUTANT 0
#endif
/* 1: versions count readings; they do not tell the contents.
 * 2: a source that takes a whole list over keeps its changes from before, and
 *    the holder does not check what a difference leads to.
 * 3: the same, and the holder checks, but does not ask for the whole then.
 */
#define CHANGES 4

byte list[2], version[2];
byte step_from[2], step_bits[2];
bool step_kept[2];
byte changes = 0;
bool resting = false;

byte held = 0, held_version = 0, asked_version = 0;

bool answer = false, answer_whole;
byte answer_from, answer_to, answer_bits, answer_list;

inline read(s, fresh) {
  step_from[s] = version[s]; step_bits[s] = list[s] ^ fresh;
  step_kept[s] = version[s] != 0;
  list[s] = fresh;
  if
  :: MUTANT == 1 -> version[s]++
  :: else -> version[s] = fresh + 1
  fi
}

inline ask(s) {
  if
  :: version[s] != 0 && version[s] != asked_version ->
     answer = true; answer_to = version[s]; answer_list = list[s];
     answer_whole = !(step_kept[s] && step_from[s] == asked_version);
     answer_from = asked_version; answer_bits = step_bits[s]
  :: else
  fi
}

inline take() {
  if
  :: answer_whole -> held = answer_list; held_version = answer_to;
     asked_version = answer_to
  :: !answer_whole && (answer_from == held_version || MUTANT == 2) ->
     /* Of the bits named, the source's; the others stay. */
     next = (held & (3 ^ answer_bits)) | (answer_list & answer_bits);
     if
     :: MUTANT == 1 || MUTANT == 2 || next + 1 == answer_to ->
        held = next; held_version = answer_to; asked_version = answer_to
     :: else ->
        if :: MUTANT == 3 :: MUTANT != 3 -> asked_version = 0 fi
     fi
  :: else ->
     if :: MUTANT == 3 :: MUTANT != 3 -> asked_version = 0 fi
  fi;
  assert(held_version != answer_to || held == answer_list)  /* P1 */
}

proctype Source(byte s) {
  do
  :: atomic { changes < CHANGES -> changes++;
       if :: read(s, 0) :: read(s, 1) :: read(s, 2) :: read(s, 3) fi }
  :: atomic { changes < CHANGES && version[1 - s] != 0 -> changes++;
       list[s] = list[1 - s]; version[s] = version[1 - s];
       if :: MUTANT >= 2 :: MUTANT < 2 -> step_kept[s] = false fi }
  :: changes == CHANGES -> break
  od
}

proctype Holder() {
  byte next, s;
  do
  :: atomic { if :: s = 0 :: s = 1 fi; ask(s) }
  :: atomic { answer -> take() }              /* It may come again. */
  :: atomic { answer -> answer = false }      /* It is lost. */
  :: atomic { changes == CHANGES -> break }
  od;
  atomic {
    if :: s = 0 :: s = 1 fi;
    answer = false; ask(s); if :: answer -> take() :: else fi;
    answer = false; ask(s); if :: answer -> take() :: else fi;
    assert(version[s] == 0 || held == list[s])  /* P2 */
  }
}

init { atomic { run Source(0); run Source(1); run Holder() } }
