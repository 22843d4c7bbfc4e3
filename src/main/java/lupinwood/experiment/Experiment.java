package lupinwood.experiment;

import java.util.List;

/** One run of the laboratory. */
public interface Experiment {
    /**
     * What it came to.
     *
     * @param line what was counted, in one line
     * @param broken what broke a rule; empty where all held
     */
    record Outcome(String line, List<String> broken) {}

    Outcome run() throws Exception;
}
