package lupinwood.consensus;

import java.util.List;
import java.util.function.Consumer;
import lupinwood.cluster.NodeReport;

/**
 * Checks and applies the shared configuration of the cluster. The callbacks may come on any thread.
 */
public interface ConfigApplier {
    /** For a node that accepts no shared configuration. */
    ConfigApplier NONE =
            new ConfigApplier() {
                @Override
                public String runs() {
                    return "";
                }

                @Override
                public List<String> cordonsAtStart() {
                    return List.of();
                }

                @Override
                public void check(
                        String digest, String text, Consumer<NodeReport.ConfigCheck> done) {
                    done.accept(
                            new NodeReport.ConfigCheck(
                                    digest, false, false, "this node takes no text"));
                }

                @Override
                public void take(String digest, String text, Consumer<String> done) {
                    done.accept("this node takes no text");
                }
            };

    /** The digest of the shared configuration with which the node started; empty for none. */
    String runs();

    /** The servers that were cordoned when this node asked before its start. */
    List<String> cordonsAtStart();

    /** Checks whether the node could run the configuration, and changes nothing. */
    void check(String digest, String text, Consumer<NodeReport.ConfigCheck> done);

    /**
     * Applies the configuration, completely or not at all.
     *
     * @param done gets the reason against it; empty if it was applied
     */
    void take(String digest, String text, Consumer<String> done);
}
