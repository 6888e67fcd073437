#!/usr/bin/env python3
"""Writes the project's own test days for the users' bench into deploy/days/.

Every variant of every kind of fault occurs in at least three days: once with
few other faults, twice among many. The days are drawn from a fixed seed, so
that each run writes the same files. tools/play-days.sh runs the days.
"""
import pathlib
import random
import sys

SERVERS = [
    ("srv_crash", ["", "dark", "gone", "all", "across"], {"for_s": 4.0, "share": 0.2}),
    ("srv_slow", [""], {"for_s": 5.0, "share": 0.2, "x": 5.0}),
    ("srv_grey", ["errors", "shed", "busy", "hang", "reset", "mute", "slow",
                  "errors all", "mute one_zone"],
     {"for_s": 5.0, "share": 0.25, "x": 0.5}),
    ("release", [""], {"share": 0.5, "x": 1.0, "gap_s": 0.8}),
    ("scale_out", [""], {"share": 0.3, "gap_s": 1.0}),
    ("scale_in", ["", "spot", "reclaim"], {"share": 0.15}),
    ("answer_lost", ["", "reset"], {"for_s": 5.0, "share": 0.5, "x": 0.08}),
    ("garble", ["", "extra", "unframed", "early", "rot", "extra late"],
     {"for_s": 5.0, "share": 0.5, "x": 0.05}),
    ("srv_cut", ["", "fronts", "some", "one_way", "reset", "reborn"],
     {"for_s": 4.0, "share": 0.2}),
    ("replace_with_reuse", ["", "drain", "dark"], {"share": 0.2}),
]
CALLERS = [
    ("burst", [""], {"for_s": 4.0, "x": 2.0}),
    ("hot_key", [""], {"for_s": 5.0, "share": 0.25}),
    ("hot_tenant", [""], {"for_s": 5.0, "x": 7.0}),
    ("retry_abuse", [""], {"for_s": 5.0, "share": 0.3, "x": 3.0}),
    ("give_up", ["", "once"], {"for_s": 5.0, "share": 0.25}),
]
HOSTS = [
    ("node_kill", ["", "power", "leader", "leader meet", "leader race", "reader",
                   "follower", "seed", "leader drain"],
     {"for_s": 3.0, "count": 1, "on": "core"}),
    ("node_kill", ["", "power"], {"for_s": 3.0, "share": 0.2}),
    ("node_freeze", ["", "leader", "leader race", "reader drain", "turn"],
     {"for_s": 3.0, "count": 1, "on": "core"}),
    ("node_freeze", [""], {"for_s": 3.0, "share": 0.2}),
    ("node_slow", [""], {"for_s": 4.0, "share": 0.2, "x": 5.0}),
    ("herd_kill", ["", "power"], {"for_s": 2.0, "share": 0.6}),
    ("herd_kill", ["", "off"], {"for_s": 2.0, "on": "core"}),
    ("node_cut", ["", "all", "servers", "servers reborn"],
     {"for_s": 4.0, "share": 0.2}),
    ("reset_conns", [""], {"share": 0.4, "x": 0.6}),
    ("lossy", [""], {"for_s": 5.0, "x": 0.04}),
    ("clock_step", ["", "back", "ahead"], {"for_s": 5.0, "share": 0.4, "x": 4000.0}),
    ("add_nodes", [""], {}),
]
STOPS = [
    ("roll_term", ["", "busy", "leader", "remove"], {"share": 0.5, "x": 1.0, "gap_s": 1.2}),
    ("hup", [""], {"share": 0.5, "gap_s": 1.0}),
    ("seed_turnover", [""], {}),
    ("replace_core", ["", "planned", "oldest", "seed"], {"x": 1.5}),
]
CORE = [
    ("core_cut", ["", "split", "all", "near", "oldest", "one_way", "seeds",
                  "both", "lure", "relieve", "behind", "leader race",
                  "leader one_way"], {"for_s": 4.0, "count": 1}),
    ("after_ack_kill", ["", "kill", "timed"], {"for_s": 2.0}),
    ("after_ack_wipe", ["", "oldest"], {"for_s": 2.0}),
    ("disk_slow", ["", "leader"], {"for_s": 5.0, "count": 1, "x": 30.0}),
    ("disk_stall", ["", "leader"], {"for_s": 3.0, "count": 1}),
    ("disk_full", ["", "leader"], {"for_s": 4.0, "count": 1}),
    ("ack_lost", [""], {"for_s": 6.0, "x": 0.7}),
]
CONFIGS = [
    ("config_change", ["route", "weights", "timeout", "tenant", "quota", "idle"], {}),
    ("config_storm", [""], {"for_s": 4.0, "gap_s": 0.2}),
    ("config_race", [""], {"count": 3, "gap_s": 1.0}),
    ("bad_config", ["cut_short", "unknown_service", "same_place", "no_weight",
                    "no_timeout", "old_version", "same_version", "shared_key"],
     {"count": 2, "gap_s": 0.6}),
    ("big_config", [""], {"count": 350}),
    ("revoke", ["", "last"], {"count": 2, "gap_s": 1.0}),
]
# Further variants, in separate days: adding them to the lists above would change
# the days drawn from those lists.
MORE = [
    ("srv_crash", ["domain", "joined", "rack", "dark all"], {"for_s": 4.0, "share": 0.2}),
    ("scale_in", ["reclaim dry"], {"share": 0.15}),
    ("give_up", ["prompt"], {"for_s": 5.0, "share": 0.25}),
    ("shift", [""], {"for_s": 6.0, "share": 0.5}),
    ("srv_cut", ["some lossy"], {"for_s": 4.0, "share": 0.2}),
    ("replace_with_reuse", ["side"], {"share": 0.2}),
    ("node_kill", ["turn", "giver", "renewed", "leader hard", "seed race drain hard",
                   "power wipe", "follower meet"],
     {"for_s": 3.0, "count": 1, "on": "core"}),
    ("node_freeze", ["renewed", "giver", "follower", "seed meet"],
     {"for_s": 3.0, "count": 1, "on": "core"}),
    ("herd_kill", ["taken", "taken all"], {"for_s": 2.0, "on": "core"}),
    ("roll_term", ["starter", "leader busy"], {"share": 0.5, "x": 1.0, "gap_s": 1.2}),
    ("core_cut", ["reset", "refuse", "all refuse", "seeds reset"],
     {"for_s": 4.0, "count": 1}),
    ("node_cut", ["reset", "refuse"], {"for_s": 4.0, "share": 0.2}),
    ("after_ack_kill", ["taken", "taken gone"], {"for_s": 2.0}),
    ("config_change", ["quota down", "topup"], {}),
    ("bad_config", ["stale_match"], {"count": 2, "gap_s": 0.6}),
]
# Faults of scale: large configurations and rapid configuration changes, each
# combined with one fault of the hosts that store configurations, and thousands
# of callers.
LARGE = [("big_config", "", {"count": n}) for n in (1000, 3000)]
QUICK = [("config_storm", "", {"gap_s": 0.05, "for_s": 12.0}),
         ("config_storm", "", {"gap_s": 0.2, "for_s": 15.0})]
BESIDE = [
    ("core_cut", "", {"count": 1, "for_s": 10.0}),
    ("core_cut", "split", {"for_s": 8.0}),
    ("herd_kill", "power", {"on": "core", "for_s": 1.0}),
    ("node_kill", "leader", {"on": "core", "count": 1, "for_s": 3.0}),
    ("disk_slow", "", {"count": 2, "x": 30.0, "for_s": 15.0}),
    ("disk_full", "", {"count": 1, "for_s": 10.0}),
    ("lossy", "", {"x": 0.05, "for_s": 15.0}),
    ("replace_core", "", {"x": 1.5}),
    ("after_ack_wipe", "", {"for_s": 2.0}),
    ("node_slow", "", {"share": 0.3, "x": 10.0, "for_s": 10.0}),
    ("reset_conns", "", {"share": 0.6, "x": 0.8}),
    ("node_freeze", "", {"share": 0.2, "for_s": 4.0}),
]
CROWD = [("node_slow", "", {"share": 1.0, "x": 30.0, "for_s": 12.0}),
         ("burst", "", {"x": 3.0, "for_s": 12.0}),
         ("retry_abuse", "", {"x": 10.0, "share": 1.0, "for_s": 10.0})]
PLANNED = {"release", "scale_out", "scale_in", "add_nodes", "roll_term", "hup",
           "seed_turnover", "replace_core", "config_change", "config_storm",
           "config_race", "bad_config", "big_config", "revoke"}
CLOSINGS = ["power_off_all", "wipe_after_ack", "kill_all"]
CLOSING_HOWS = ["", "timed", "taken", "oldest"]


def variants(*groups):
    for group in groups:
        for kind, hows, fields in group:
            for how in hows:
                yield kind, how, fields


def entry(kind, how, fields, at):
    parts = [f'at = {at:.2f}', f'kind = "{kind}"']
    if how:
        parts.append(f'how = "{how}"')
    for k, v in fields.items():
        parts.append(f'{k} = "{v}"' if isinstance(v, str) else f"{k} = {v}")
    return "{ " + ", ".join(parts) + " }"


def write_day(folder, name, seed, entries, closing, closing_how=""):
    plan = [e for k, e in entries if k in PLANNED]
    faults = [e for k, e in entries if k not in PLANNED]
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    if closing:
        how = f'how = "{closing_how}", ' if closing_how else ""
        lines.append(f'closing = {{ kind = "{closing}", {how}down_s = 1.5 }}')
    for title, items in (("plan", plan), ("faults", faults)):
        lines.append(f"{title} = [")
        lines += [f"  {e}," for e in items]
        lines.append("]")
    (folder / f"{name}.toml").write_text("\n".join(lines) + "\n")


def main():
    folder = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "deploy/days")
    folder.mkdir(parents=True, exist_ok=True)
    rnd = random.Random(20261202)
    every = list(variants(SERVERS, CALLERS, HOSTS, STOPS, CORE, CONFIGS))
    # Separate faults: four per day, eight seconds apart.
    for n in range(0, len(every), 4):
        entries = [(k, entry(k, h, f, 2.0 + 8.0 * i))
                   for i, (k, h, f) in enumerate(every[n:n + 4])]
        closing = CLOSINGS[n // 4 % 4] if n // 4 % 4 < 3 else None
        write_day(folder, f"apart-{n // 4:02d}", 1000 + n, entries, closing)
    # Overlapping faults: eight per day at random times, each variant twice.
    for round_ in range(2):
        order = every[:]
        rnd.shuffle(order)
        for n in range(0, len(order), 8):
            entries = [(k, entry(k, h, f, rnd.uniform(0.5, 28.0)))
                       for k, h, f in order[n:n + 8]]
            closing = rnd.choice(CLOSINGS + [None])
            write_day(folder, f"together-{round_}-{n // 8:02d}",
                      5000 + 100 * round_ + n, entries, closing)
    write_more(folder)
    write_sizes(folder)


def write_sizes(folder):
    """Writes one day per fault of BESIDE, combined with a large configuration and
    rapid changes of it, and two days with the faults of CROWD: alone and
    combined with both."""
    day = 0
    for kind, how, fields in BESIDE:
        large = LARGE[day % len(LARGE)]
        quick = QUICK[day // 2 % len(QUICK)]
        entries = [(k, entry(k, h, f, at)) for (k, h, f), at in
                   ((large, 3.0), (quick, 6.0), ((kind, how, fields), 9.0))]
        closing = (CLOSINGS + [None])[day % 4]
        write_day(folder, f"size-{day:02d}", 12000 + day, entries, closing)
        day += 1
    for beside in ([], [(LARGE[1], 4.0), (QUICK[1], 8.0)]):
        entries = [(k, entry(k, h, f, at)) for (k, h, f), at in
                   [(c, 2.0 + 2 * i) for i, c in enumerate(CROWD)] + beside]
        write_day(folder, f"size-{day:02d}", 12000 + day, entries, None)
        day += 1


def write_more(folder):
    """Writes days with the variants of MORE, once separate and twice overlapping.
    The days use each closing fault in each of its variants."""
    rnd = random.Random(20261203)
    more = list(variants(MORE))
    closings = [(c, h) for c in CLOSINGS for h in CLOSING_HOWS]
    day = 0
    for round_ in range(3):
        order = more[:]
        rnd.shuffle(order)
        step = 4 if round_ == 0 else 7
        for n in range(0, len(order), step):
            entries = []
            for i, (k, h, f) in enumerate(order[n:n + step]):
                at = 2.0 + 8.0 * i if round_ == 0 else rnd.uniform(0.5, 28.0)
                entries.append((k, entry(k, h, f, at)))
            closing, how = closings[day % len(closings)]
            write_day(folder, f"more-{round_}-{n // step:02d}", 9000 + day,
                      entries, closing, how)
            day += 1


main()
