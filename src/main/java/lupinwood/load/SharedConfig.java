package lupinwood.load;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinwood.config.Config;
import lupinwood.config.Diagnostic;
import lupinwood.config.Reader;
import lupinwood.config.Sources;
import lupinwood.net.NodeConfig;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;
import lupinwood.settings.SettingsError;
import lupinwood.settings.SettingsValidator;

/**
 * Entries that all nodes of a fleet have alike, over what each one's own files say. It is known by
 * the digest of what it means: two texts that differ in comments, order or units only are one.
 *
 * @param digest empty for no entries
 */
public record SharedConfig(String digest, ParsedSettings part) {
    private static final String NAME = "the fleet's text";
    private static final int DIGITS = 16;
    private static final List<String> A_NODES_OWN = List.of("name", "listen", "seed");
    private static final List<String> SECTIONS_OF_ITS_OWN = List.of("fleet ", "limits ", "ajp ");

    /** A text that can't be a fleet's is told by the exception, in one line. */
    public static SharedConfig read(String text) throws NodeConfig.UnusableConfiguration {
        if (text.isEmpty()) {
            return new SharedConfig("", new ParsedSettings(Map.of(), Map.of()));
        }
        Config config =
                Reader.readPart(
                        new Sources() {
                            @Override
                            public String resolve(String from, String included) throws Unreadable {
                                if (!from.isEmpty()) {
                                    throw new Unreadable(
                                            "a fleet's text includes no files, since each node would have its own");
                                }
                                return included;
                            }

                            @Override
                            public byte[] read(String name, int most) {
                                return text.getBytes(StandardCharsets.UTF_8);
                            }
                        },
                        NAME);
        if (!config.diagnostics().isEmpty()) {
            Diagnostic first = config.diagnostics().all().get(0);
            throw new NodeConfig.UnusableConfiguration(
                    first.place()
                            + ": "
                            + first.text()
                            + (first.instead().isEmpty() ? "" : " (" + first.instead() + ")"));
        }
        ParsedSettings part = config.parsedSettings();
        if (!part.items(Schema.VOTER).isEmpty()) {
            throw new NodeConfig.UnusableConfiguration("voters are named in each node's own file");
        }
        for (String name : part.values().keySet()) {
            if (A_NODES_OWN.contains(name)
                    || SECTIONS_OF_ITS_OWN.stream().anyMatch(name::startsWith)) {
                throw new NodeConfig.UnusableConfiguration(
                        name + " is each node's own, and no fleet's text says it");
            }
        }
        return new SharedConfig(digest(part), part);
    }

    private static String digest(ParsedSettings part) {
        StringBuilder text = new StringBuilder();
        part.lists().forEach((list, items) -> text.append(list).append(items).append('\n'));
        part.values()
                .forEach((name, value) -> text.append(name).append('=').append(value).append('\n'));
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash).substring(0, DIGITS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What a node with these files of its own goes by. */
    public NodeConfig onto(NodeConfig own) throws NodeConfig.UnusableConfiguration {
        if (digest.isEmpty()) {
            return own;
        }
        ParsedSettings parsedSettings = own.parsedSettings();
        Map<String, List<String>> lists = new LinkedHashMap<>(parsedSettings.lists());
        for (String list : Schema.LISTS) {
            for (String item : part.items(list)) {
                if (!parsedSettings.items(list).contains(item)) {
                    throw new NodeConfig.UnusableConfiguration(
                            "there is no " + list + " " + item + " here");
                }
            }
        }
        Map<String, String> values = new LinkedHashMap<>(parsedSettings.values());
        values.putAll(part.values());
        ParsedSettings both = new ParsedSettings(lists, ParsedSettings.ordered(lists, values));
        List<SettingsError> errors = SettingsValidator.of(both, List.of());
        for (SettingsError error : errors) {
            if (error.certain()) {
                throw new NodeConfig.UnusableConfiguration(
                        error.text() + " (" + error.instead() + ")");
            }
        }
        return own.with(both);
    }
}
