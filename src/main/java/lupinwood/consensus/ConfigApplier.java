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
                                    digest,
                                    false,
                                    false,
                                    "this node accepts no shared configuration"));
                }

                @Override
                public void take(String digest, String text, Consumer<String> done) {
                    done.accept("this node accepts no shared configuration");
                }
            };

    /** The digest of the shared configuration with which the node started; empty for none. */
    String runs();

    /** The cordoned servers that the leader reported when this node queried it before starting. */
    List<String> cordonsAtStart();

    /** Checks whether the node could run the configuration, and changes nothing. */
    void check(String digest, String text, Consumer<NodeReport.ConfigCheck> done);

    /**
     * Applies the configuration, completely or not at all.
     *
     * @param done called with the error; with an empty string if the configuration was applied
     */
    void take(String digest, String text, Consumer<String> done);
}
