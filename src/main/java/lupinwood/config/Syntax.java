package lupinwood.config;

import java.util.List;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.Token;

/** The words of a text, all of them, so that the text can be written again from them. */
final class Syntax {
    private Syntax() {}

    /** Ends with the end of the text. */
    static List<? extends Token> words(Source source) {
        KdlLexer lexer = new KdlLexer(CharStreams.fromString(source.text(), source.name()));
        lexer.removeErrorListeners(); // every text is made of words: what is none is a slip of a
        // kind of its own
        return lexer.getAllTokens();
    }

    static SourcePosition place(Source source, Token word) {
        int length = word.getText().length();
        int end = word.getText().indexOf('\n');
        return new SourcePosition(
                source.name(),
                word.getLine(),
                word.getCharPositionInLine() + 1,
                Math.max(1, end < 0 ? length : end));
    }
}
