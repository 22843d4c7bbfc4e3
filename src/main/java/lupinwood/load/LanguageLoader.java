package lupinwood.load;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinwood.config.Config;
import lupinwood.config.Diagnostic;
import lupinwood.config.Reader;
import lupinwood.net.NodeConfig;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;
import lupinwood.settings.SettingsError;
import lupinwood.settings.SettingsValidator;

/** Configurations in the language, whole or beside the platform's JSON. */
final class LanguageLoader {
    private LanguageLoader() {}

    static Loader.Loaded load(Path file, Path operator) throws NodeConfig.UnusableConfiguration {
        FileSources sources = new FileSources();
        List<Path> files = new ArrayList<>();
        NodeConfig config;
        if (Loader.isLanguage(file)) {
            config = NodeConfig.of(sound(Reader.read(sources, file.toString())));
        } else {
            config = NodeConfig.read(file);
            files.add(file);
        }
        if (operator != null) {
            FileSources beside = new FileSources();
            ParsedSettings part = sound(Reader.readPart(beside, operator.toString()));
            Map<String, String> values = new LinkedHashMap<>(config.parsedSettings().values());
            for (Map.Entry<String, String> each : part.values().entrySet()) {
                if (ParsedSettings.entry(each.getKey()) == null
                        || !ParsedSettings.entry(each.getKey()).key().startsWith("operator.")) {
                    throw new NodeConfig.UnusableConfiguration(
                            operator
                                    + ": "
                                    + each.getKey()
                                    + " is the platform's to say, not the operator's");
                }
                values.put(each.getKey(), each.getValue());
            }
            Map<String, List<String>> lists = new LinkedHashMap<>(config.parsedSettings().lists());
            for (String list : List.of(Schema.ROUTE, Schema.SERVER, Schema.VOTER)) {
                lists.put(list, part.items(list));
            }
            ParsedSettings both = new ParsedSettings(lists, ParsedSettings.ordered(lists, values));
            List<SettingsError> errors = SettingsValidator.of(both, config.doubts());
            if (!errors.isEmpty()) {
                throw new NodeConfig.UnusableConfiguration(
                        operator
                                + ": "
                                + errors.get(0).text()
                                + " ("
                                + errors.get(0).instead()
                                + ")");
            }
            config = config.with(both);
            files.addAll(beside.files());
        }
        files.addAll(sources.files());
        return new Loader.Loaded(config, files, false);
    }

    private static ParsedSettings sound(Config config) throws NodeConfig.UnusableConfiguration {
        if (!config.diagnostics().isEmpty()) {
            List<Diagnostic> all = config.diagnostics().all();
            Diagnostic first = all.get(0);
            throw new NodeConfig.UnusableConfiguration(
                    first.place()
                            + ": "
                            + first.text()
                            + (first.instead().isEmpty() ? "" : " (" + first.instead() + ")")
                            + (all.size() > 1 ? ", and " + (all.size() - 1) + " more" : ""));
        }
        return config.parsedSettings();
    }
}
