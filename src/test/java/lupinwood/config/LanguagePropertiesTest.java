package lupinwood.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lupinwood.reload.ConfigDiff;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Whatever comes in, nothing throws or hangs; formatting twice is formatting once, and it changes
 * no meaning.
 */
final class LanguagePropertiesTest {
    private static final List<String> PIECES =
            List.of(
                    "name",
                    "stop",
                    " ",
                    " ",
                    "\n",
                    "\n",
                    ";",
                    "{",
                    "}",
                    "(",
                    ")",
                    "=",
                    "/-",
                    "/*",
                    "*/",
                    "//",
                    "\"",
                    "\"\"\"",
                    "#\"",
                    "\"#",
                    "#true",
                    "3s",
                    "13,020ms",
                    "(ms)250",
                    "30/s",
                    "\\",
                    "\\\n",
                    "track look {",
                    "agreed-time",
                    "$x",
                    "let x 3s",
                    "\u201C",
                    "\u00A0",
                    "\r\n",
                    "\uFEFF",
                    "\0",
                    "\uD83D\uDEB2",
                    "limits {",
                    "descriptors 256",
                    "include \"a\"",
                    "include \"b\"",
                    "(override)",
                    "\t",
                    "'",
                    ",");

    @Provide
    Arbitrary<String> soups() {
        return Arbitraries.of(PIECES).list().ofMaxSize(60).map(pieces -> String.join("", pieces));
    }

    /** A sound text with a few of its places changed. */
    @Provide
    Arbitrary<String> slips() {
        Arbitrary<Integer> places = Arbitraries.integers().between(0, ReaderTest.NODE.length());
        return Combinators.combine(
                        places, Arbitraries.integers().between(0, 6), Arbitraries.of(PIECES))
                .as(
                        (place, cut, piece) ->
                                ReaderTest.NODE.substring(0, place)
                                        + piece
                                        + ReaderTest.NODE.substring(
                                                Math.min(ReaderTest.NODE.length(), place + cut)));
    }

    @Property(tries = 1500, seed = "42")
    void anyTextIsReadOrItsMistakesReported(@ForAll("soups") String text) {
        holds(text);
    }

    @Property(tries = 1500, seed = "42")
    void aSlipInASoundTextMakesNoCascade(@ForAll("slips") String text) {
        Config config = holds(text);
        assertThat(config.diagnostics().all()).as(text).hasSizeLessThanOrEqualTo(6);
    }

    private static Config holds(String text) {
        Config config = MemorySources.read(text);
        DiagnosticReport.text(config.diagnostics(), config::source);
        DiagnosticReport.json(config.diagnostics());
        Diagnostics diagnostics = new Diagnostics();
        String once = Formatter.format(new Source("a", text), diagnostics);
        assertThat(once == null).isEqualTo(!diagnostics.isEmpty());
        if (once != null) {
            assertThat(Formatter.format(new Source("a", once), new Diagnostics()))
                    .as(text)
                    .isEqualTo(once);
            Config formatted = MemorySources.read(once);
            assertThat(formatted.parsedSettings().values())
                    .as(text)
                    .isEqualTo(config.parsedSettings().values());
            assertThat(formatted.diagnostics().isEmpty())
                    .as(text)
                    .isEqualTo(config.diagnostics().isEmpty());
            if (config.diagnostics().isEmpty()) {
                assertThat(
                                ConfigDiff.between(
                                                config.parsedSettings(), formatted.parsedSettings())
                                        .isEmpty())
                        .isTrue();
            }
        }
        return config;
    }
}
