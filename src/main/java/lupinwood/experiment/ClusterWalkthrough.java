package lupinwood.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * A first look at a fleet: three nodes as processes, what 'fleet status' tells of them, and what
 * happens as one dies.
 */
final class ClusterWalkthrough implements Experiment {
    private static final int NODES = 3;
    private static final long LEASE_MILLIS = 2000;
    private static final int RESPONSE_TIMEOUT = 600; // looks, 50 ms apart

    private final long seed;
    private final PrintStream out;

    ClusterWalkthrough(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
    }

    @Override
    public Outcome run() throws Exception {
        List<String> broken = new ArrayList<>();
        try (ProcessCluster fleet =
                new ProcessCluster(NODES, NODES, LEASE_MILLIS, 50, true, seed, line -> {})) {
            out.println("Three nodes, each also a voter, with a lease of 2 s:\n");
            fleet.operatorFile().lines().forEach(line -> out.println("    " + line));
            fleet.startAll();
            until(() -> fleet.sink.acts() > 0, broken, "a keeper");
            Thread.sleep(LEASE_MILLIS);
            status(fleet, broken);
            String first = fleet.sink.holder();
            out.println("\nThe keeper " + first + " is killed.");
            long at = System.currentTimeMillis();
            fleet.members.get(Integer.parseInt(first.substring(1))).kill();
            until(() -> !fleet.sink.holder().equals(first), broken, "another keeper");
            out.println(
                    "After "
                            + (System.currentTimeMillis() - at)
                            + " ms "
                            + fleet.sink.holder()
                            + " keeps the picture.");
            status(fleet, broken);
            fleet.members.get(Integer.parseInt(first.substring(1))).start();
            out.println("\n" + first + " is back; it doesn't take the duty back.");
            Thread.sleep(3 * LEASE_MILLIS);
            status(fleet, broken);
            broken.addAll(fleet.leaveAll());
            return new Outcome(
                    "fleet-tour: tickets "
                            + fleet.count("sent")
                            + ", satisfied "
                            + fleet.count("satisfied")
                            + ", broken "
                            + broken.size(),
                    broken);
        }
    }

    private void status(ProcessCluster fleet, List<String> broken)
            throws IOException, InterruptedException {
        out.println("\n$ lupinwood fleet status --operator operator.kdl");
        ProcessCluster.Said said = fleet.command("fleet", "status", "--operator");
        said.lines().forEach(line -> out.println("    " + line));
        if (said.status() != 0) {
            broken.add("fleet status ended with " + said.status());
        }
    }

    private interface StatusSnapshot {
        boolean holds();
    }

    private static void until(StatusSnapshot look, List<String> broken, String what)
            throws InterruptedException {
        for (int i = 0; i < RESPONSE_TIMEOUT; i++) {
            if (look.holds()) {
                return;
            }
            Thread.sleep(50);
        }
        broken.add("waited in vain for " + what);
    }
}
