package lupinwood.load;

import java.util.List;
import lupinwood.admission.NanoDuration;
import lupinwood.consensus.ClusterQuery;
import lupinwood.consensus.ClusterSettings;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;

/**
 * What was agreed while this node was away, asked of the consensus group before the listener opens:
 * the text that it is to go by, and the servers to which it is to send nothing. Where nobody
 * answers in time it starts with its files alone, as without a fleet.
 *
 * @param config what it goes by: its files, with the text over them
 * @param digest of the text; empty for none
 */
public record StartupConfig(NodeConfig config, String digest, List<String> cordons) {
    private static final NanoDuration MOST = NanoDuration.ofSeconds(3);

    /** The loader lays the text over the files from then on. */
    public static StartupConfig ask(Loader loader, NodeConfig own, Log log) {
        ClusterSettings settings = ClusterSettings.of(own.parsedSettings());
        StartupConfig alone = new StartupConfig(own, "", List.of());
        ClusterQuery.Wanted wanted = null;
        try {
            wanted =
                    ClusterQuery.wanted(
                            settings.voters().values(),
                            settings.name(),
                            settings.timing().leaseDuration().min(MOST),
                            log);
            if (wanted == null) {
                return alone;
            }
            SharedConfig common = SharedConfig.read(wanted.text());
            NodeConfig config = common.onto(own);
            if (!common.digest().isEmpty()) {
                loader.lay(common);
                log.line("fleet: starts with the text " + common.digest());
            }
            return new StartupConfig(config, common.digest(), wanted.cordons());
        } catch (NodeConfig.UnusableConfiguration e) {
            log.line("fleet: starts without the text agreed on: " + e.getMessage());
            return new StartupConfig(own, "", wanted.cordons());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return alone;
        }
    }
}
