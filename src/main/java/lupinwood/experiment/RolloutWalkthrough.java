package lupinwood.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A first look at releases: a good one, a bad one that goes back by itself, and a rest, as they
 * look in a terminal.
 */
final class RolloutWalkthrough implements Experiment {
    private static final int NODES = 6;
    private static final long LEASE_MILLIS = 1500;
    private static final String RULES = "release { watch 4s; watch-most 1min; harm 8% }\n";
    private static final int ENDED_OTHERWISE = 5;
    private static final int REFUSED = 3;

    private final long seed;
    private final PrintStream out;
    private final List<String> broken = new ArrayList<>();

    RolloutWalkthrough(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
    }

    @Override
    public Outcome run() throws Exception {
        Path texts = Files.createTempDirectory("lupinwood-texts");
        Path good = Files.writeString(texts.resolve("good.kdl"), "goal { worst-track 40% }\n");
        Path same =
                Files.writeString(
                        texts.resolve("same.kdl"),
                        "// in other words\ngoal {\n    worst-track 40%\n}\n");
        Path bad =
                Files.writeString(
                        texts.resolve("bad.kdl"),
                        "track quote { agreed-time 8ms; abandon-time 16ms }\n");
        Path wrong =
                Files.writeString(texts.resolve("wrong.kdl"), "track unlock { effect pure }\n");
        LoopbackServer one = new LoopbackServer(0, new StandInServer(new Audit(), seed, 0)::talk);
        LoopbackServer two = new LoopbackServer(0, new StandInServer(new Audit(), seed, 0)::talk);
        String servers =
                "server s1 { address \""
                        + one.address()
                        + "\"; tracks history }\nserver s2 { address \""
                        + two.address()
                        + "\"; tracks history }\n";
        try (one;
                two;
                ProcessCluster fleet =
                        new ProcessCluster(
                                3,
                                NODES,
                                NODES,
                                LEASE_MILLIS,
                                25,
                                true,
                                seed,
                                line -> {},
                                RULES + servers,
                                15)) {
            out.println(
                    "Six nodes in three zones, three of them voters, each wave watched for 4 s at the least.");
            fleet.startAll();
            fleet.awaitLeader();
            Thread.sleep(6 * LEASE_MILLIS);
            say(
                    fleet,
                    0,
                    "fleet",
                    "release",
                    good.toString(),
                    "--by",
                    "ann",
                    "--wait",
                    "--operator");
            say(fleet, REFUSED, "fleet", "release", same.toString(), "--by", "ann", "--operator");
            say(
                    fleet,
                    ENDED_OTHERWISE,
                    "fleet",
                    "release",
                    wrong.toString(),
                    "--by",
                    "ann",
                    "--wait",
                    "--operator");
            say(
                    fleet,
                    ENDED_OTHERWISE,
                    "fleet",
                    "release",
                    bad.toString(),
                    "--by",
                    "bob",
                    "--back-on-halt",
                    "--wait",
                    "--operator");
            say(fleet, 0, "fleet", "rest", "s1", "--by", "ann", "--wait", "--operator");
            say(fleet, REFUSED, "fleet", "rest", "s2", "--by", "bob", "--operator");
            say(fleet, 0, "fleet", "status", "--operator");
            say(fleet, 0, "fleet", "unrest", "s1", "--by", "ann", "--operator");
            say(fleet, 0, "fleet", "wanted", "n4", "--operator");
            say(fleet, 0, "fleet", "status", "--history", "--operator");
            broken.addAll(fleet.leaveAll());
            return new Outcome(
                    "release-tour: tickets "
                            + fleet.count("sent")
                            + ", satisfied "
                            + fleet.count("satisfied")
                            + ", abandoned "
                            + fleet.count("abandoned")
                            + ", broken "
                            + broken.size(),
                    broken);
        }
    }

    private void say(ProcessCluster fleet, int expected, String... words)
            throws IOException, InterruptedException {
        List<String> shown = new ArrayList<>();
        for (String word : words) {
            shown.add(word.startsWith("/") ? Path.of(word).getFileName().toString() : word);
        }
        out.println("\n$ lupinwood " + String.join(" ", shown) + " operator.kdl");
        ProcessCluster.Said said = fleet.command(words);
        said.lines().forEach(line -> out.println("    " + line));
        if (said.status() != expected) {
            broken.add(
                    String.join(" ", shown)
                            + " ended with "
                            + said.status()
                            + ", not with "
                            + expected);
        }
    }
}
