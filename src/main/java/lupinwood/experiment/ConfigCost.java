package lupinwood.experiment;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import lupinwood.config.Config;
import lupinwood.config.Diagnostics;
import lupinwood.config.Formatter;
import lupinwood.config.Reader;
import lupinwood.config.Source;
import lupinwood.load.FileSources;
import lupinwood.reload.ConfigDiff;

/**
 * What it costs to check, format and compare a large configuration, as multiples of reading its
 * bytes.
 */
final class ConfigCost implements Experiment {
    private static final int ROUNDS = 41;
    private static final int ENTRIES_OF_A_REQUEST_CLASS = 6;

    /** A step that is measured. */
    private interface Step {
        Object run() throws Exception;
    }

    private final int entries;

    ConfigCost(int entries) {
        this.entries = entries;
    }

    @Override
    public Outcome run() throws Exception {
        Path file = Files.createTempFile("lab", ".kdl");
        Files.writeString(file, text());
        try {
            Config config = Reader.read(new FileSources(), file.toString());
            List<String> broken = new ArrayList<>();
            config.diagnostics().all().forEach(diagnostic -> broken.add(diagnostic.text()));
            Source source = new Source("cost", Files.readString(file));
            double read =
                    micros(() -> new String(Files.readAllBytes(file), StandardCharsets.UTF_8));
            double check = micros(() -> Reader.read(new FileSources(), file.toString()));
            double format = micros(() -> Formatter.format(source, new Diagnostics()));
            double plan =
                    micros(
                            () ->
                                    ConfigDiff.between(
                                            config.parsedSettings(), config.parsedSettings()));
            return new Outcome(
                    String.format(
                            Locale.ROOT,
                            "config-cost: entries %d, bytes %d, read %.0f us, check %.0f"
                                    + " times, format %.0f times, diff of two meanings %.0f times, broken %d",
                            entries,
                            Files.size(file),
                            read,
                            check / read,
                            format / read,
                            plan / read,
                            broken.size()),
                    broken);
        } finally {
            Files.delete(file);
        }
    }

    /** The median of some rounds, after as many to warm up. */
    private static double micros(Step step) throws Exception {
        long[] took = new long[ROUNDS];
        for (int round = -ROUNDS; round < ROUNDS; round++) {
            long begun = System.nanoTime();
            if (step.run() == null) {
                throw new IllegalStateException("nothing came of it");
            }
            took[Math.max(0, round)] = System.nanoTime() - begun;
        }
        Arrays.sort(took);
        return took[ROUNDS / 2] / 1e3;
    }

    private String text() {
        StringBuilder text =
                new StringBuilder(
                        """
                name large
                listen "127.0.0.1:5050"
                executor "127.0.0.1:4400"
                index "127.0.0.1:8900"
                naming "127.0.0.1:8500"
                seed "1"
                stop 3s
                step 4ms
                limits { descriptors 256 }
                """);
        for (int i = 0; i < entries / ENTRIES_OF_A_REQUEST_CLASS; i++) {
            text.append("track t")
                    .append(i)
                    .append(
                            """
                             {
                                effect pure
                                credit 2
                                late-value 20%
                                agreed-time 2s
                                abandon-time 8s // as told by the fleet
                                window 13020ms
                            }
                            """);
        }
        return text.toString();
    }
}
