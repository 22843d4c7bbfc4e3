package lupinwood.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.antlr.v4.runtime.Token;

/**
 * Makes statements of words. It goes through the words once, with the open braces on a stack of its
 * own, so depth costs no stack of the machine's. A slip that leaves the structure clear is told and
 * its statement passed over; one that doesn't, as a brace without its other, ends the reading.
 */
final class Parser {
    private static final int MOST_DEPTH = 32;
    private static final int MOST_STATEMENTS = 200_000;

    /** A text's statements, and whether its structure could be made out. */
    record Parsed(List<Statement> statements, boolean whole) {}

    private record Open(Statement of, SourcePosition place, List<Statement> into) {}

    private final Source source;
    private final Diagnostics diagnostics;
    private final List<Token> words = new ArrayList<>();
    private final Deque<Open> open = new ArrayDeque<>();
    private final List<Statement> top = new ArrayList<>();
    private int at;
    private int count;
    private boolean lost;

    private Parser(Source source, Diagnostics diagnostics) {
        this.source = source;
        this.diagnostics = diagnostics;
    }

    static Parsed parse(Source source, Diagnostics diagnostics) {
        Parser parser = new Parser(source, diagnostics);
        parser.read();
        return new Parsed(parser.top, !parser.lost);
    }

    private void read() {
        if (!gather()) {
            return;
        }
        Statement last = null; // the one that a brace would belong to
        while (at < words.size() && !lost) {
            Token word = words.get(at);
            switch (word.getType()) {
                case KdlLexer.NEWLINE, KdlLexer.SEMICOLON -> {
                    last = null;
                    at++;
                }
                case KdlLexer.OPEN -> {
                    openBrace(word, last);
                    last = null;
                    at++;
                }
                case KdlLexer.CLOSE -> {
                    closeBrace(word);
                    last = null;
                    at++;
                }
                default -> last = statement();
            }
        }
        if (!lost && !open.isEmpty()) {
            diagnostics.add(
                    open.peek().place(),
                    "this { is never closed",
                    "write } after the last entry inside");
            lost = true;
        }
    }

    /** Takes in the words that carry meaning. */
    private boolean gather() {
        int remarks = 0;
        Token opened = null;
        for (Token word : Syntax.words(source)) {
            switch (word.getType()) {
                case KdlLexer.REMARK_OPEN, KdlLexer.DEEPER ->
                        opened = remarks++ == 0 ? word : opened;
                case KdlLexer.REMARK_CLOSE -> remarks--;
                default -> {
                    if (word.getChannel() == Token.DEFAULT_CHANNEL) {
                        words.add(word);
                    }
                }
            }
        }
        if (remarks > 0) {
            stop(
                    new SourcePosition(
                            source.name(), opened.getLine(), opened.getCharPositionInLine() + 1, 2),
                    "this comment is never closed",
                    "write */ where it ends");
        }
        return !lost;
    }

    private void stop(SourcePosition place, String text, String instead) {
        diagnostics.add(place, text, instead);
        lost = true;
    }

    private SourcePosition place(Token word) {
        return Syntax.place(source, word);
    }

    private void openBrace(Token brace, Statement of) {
        if (of == null || of.inside != null) {
            stop(
                    place(brace),
                    "this { belongs to no entry",
                    "write the entry's name in front of it, in the same line");
        } else if (open.size() >= MOST_DEPTH) {
            stop(place(brace), "braces are nested more than " + MOST_DEPTH + " deep", "");
        } else {
            of.inside = new ArrayList<>();
            open.push(new Open(of, place(brace), of.inside));
        }
    }

    private void closeBrace(Token brace) {
        if (open.isEmpty()) {
            stop(
                    place(brace),
                    "this } closes nothing",
                    "take it out, or write the { that it should close");
        } else {
            open.pop();
        }
    }

    /** One statement up to its braces or its end. */
    private Statement statement() {
        boolean off = take(KdlLexer.SLASHDASH);
        ValueToken name = value("an entry's name");
        Statement statement = new Statement(name);
        statement.broken = !name.sound();
        if (++count > MOST_STATEMENTS) {
            stop(name.place(), "there are more than " + MOST_STATEMENTS + " entries", "");
            return statement;
        }
        if (name.sound()
                && (name.kind() == ValueToken.Kind.NUMBER
                        || name.kind() == ValueToken.Kind.KEYWORD)) {
            broken(
                    statement,
                    name.place(),
                    "an entry's name is expected here, not " + name.text(),
                    "write the name of an entry first, then its value");
        }
        while (at < words.size() && !ends(words.get(at).getType())) {
            boolean passed = take(KdlLexer.SLASHDASH);
            if (passed && at < words.size() && words.get(at).getType() == KdlLexer.OPEN) {
                passOver();
                continue;
            }
            ValueToken word = value("a value");
            if (at < words.size() && words.get(at).getType() == KdlLexer.EQUALS) {
                at++;
                ValueToken value =
                        at < words.size() && !ends(words.get(at).getType())
                                ? value("a value")
                                : word;
                if (!passed) {
                    statement.property =
                            statement.property == null ? word.place() : statement.property;
                    statement.broken |= !word.sound() || !value.sound();
                }
                continue;
            }
            if (!passed) {
                statement.values.add(word);
                statement.broken |= !word.sound();
            }
        }
        if (!off) {
            (open.isEmpty() ? top : open.peek().into()).add(statement);
        } // else its braces, if it has any, fill a statement that nobody sees
        return statement;
    }

    /** Braces that were marked as not to count. */
    private void passOver() {
        int depth = 0;
        Token first = words.get(at);
        for (; at < words.size(); at++) {
            int type = words.get(at).getType();
            depth += type == KdlLexer.OPEN ? 1 : type == KdlLexer.CLOSE ? -1 : 0;
            if (depth == 0) {
                at++;
                return;
            }
        }
        stop(place(first), "this { is never closed", "write } after the last entry inside");
    }

    private static boolean ends(int type) {
        return type == KdlLexer.NEWLINE
                || type == KdlLexer.SEMICOLON
                || type == KdlLexer.OPEN
                || type == KdlLexer.CLOSE;
    }

    private boolean take(int type) {
        if (at < words.size() && words.get(at).getType() == type) {
            at++;
            return true;
        }
        return false;
    }

    private void broken(Statement statement, SourcePosition place, String text, String instead) {
        if (!statement.broken) {
            diagnostics.add(place, text, instead);
            statement.broken = true;
        }
    }

    private ValueToken slip(Token word, String text, String instead) {
        diagnostics.add(place(word), text, instead);
        return new ValueToken(ValueToken.Kind.BARE, word.getText(), "", place(word), false);
    }

    /**
     * The next word, which is there, with the note before it; never waits for more than one line.
     */
    private ValueToken value(String expected) {
        if (at >= words.size() || ends(words.get(at).getType())) {
            Token near = words.get(Math.min(at, words.size() - 1));
            return slip(
                    near, expected + " is missing here", "write it, or take out what is before it");
        }
        String note = "";
        Token first = words.get(at++);
        if (first.getType() == KdlLexer.PAREN_OPEN) {
            if (at + 1 >= words.size()
                    || words.get(at + 1).getType() != KdlLexer.PAREN_CLOSE
                    || words.get(at).getType() != KdlLexer.WORD) {
                return slip(
                        first,
                        "this ( doesn't hold one word and a )",
                        "write it like (ms)250 or (override)window");
            }
            note = words.get(at).getText();
            at += 2;
            if (at >= words.size() || ends(words.get(at).getType())) {
                return slip(
                        first,
                        expected + " is missing after (" + note + ")",
                        "write it right after the )");
            }
            first = words.get(at++);
        }
        return word(first, note);
    }

    private ValueToken word(Token word, String note) {
        String text = word.getText();
        return switch (word.getType()) {
            case KdlLexer.WORD ->
                    new ValueToken(ValueToken.Kind.BARE, text, note, place(word), true);
            case KdlLexer.NUMBER ->
                    new ValueToken(ValueToken.Kind.NUMBER, text, note, place(word), true);
            case KdlLexer.KEYWORD -> keyword(word, note);
            case KdlLexer.STRING ->
                    string(word, Texts.unescape(text.substring(1, text.length() - 1)), note);
            case KdlLexer.MULTILINE -> {
                String inner = Texts.multiline(text);
                yield inner == null
                        ? slip(
                                word,
                                "the lines of this text don't begin like its last line",
                                "begin each line with the blanks that stand before the closing \"\"\"")
                        : string(word, Texts.unescape(inner), note);
            }
            case KdlLexer.RAW -> {
                int hashes = text.indexOf('"');
                yield string(word, text.substring(hashes + 1, text.length() - hashes - 1), note);
            }
            case KdlLexer.UNCLOSED ->
                    slip(word, "this text is not closed in its line", "write \" where it ends");
            case KdlLexer.BAD_ESCAPE ->
                    slip(
                            word,
                            "there is no such escape as " + Texts.badEscape(text),
                            "write \\\\ for a backslash, or one of \\n \\t \\\" \\u{41}");
            case KdlLexer.EQUALS ->
                    slip(
                            word,
                            "a value follows its entry's name without a =",
                            "write a blank in its place");
            case KdlLexer.TYPOGRAPHIC ->
                    slip(
                            word,
                            "these are typographic quotes, which are no quotes here",
                            text.length() == 1
                                    ? "write \" in its place"
                                    : "write \""
                                            + text.replaceAll(
                                                    "[\u2018\u2019\u201A\u201C\u201D\u201E\u00AB\u00BB]",
                                                    "")
                                            + "\"");
            case KdlLexer.UNCLOSED_MULTILINE, KdlLexer.UNCLOSED_RAW -> {
                ValueToken said =
                        slip(
                                word,
                                "this text is never closed",
                                "write "
                                        + (text.startsWith("\"")
                                                ? "\"\"\" alone in a" + " line after its last one"
                                                : "\"" + text.substring(0, text.length() - 1))
                                        + " where it ends");
                lost = true;
                at = words.size();
                yield said;
            }
            default -> {
                ValueToken said = slip(word, Texts.stray(text), "take it out");
                while (at < words.size() && !ends(words.get(at).getType())) {
                    at++; // one message for a line of noise
                }
                yield said;
            }
        };
    }

    private ValueToken string(Token word, String text, String note) {
        return text == null
                ? slip(word, "an escape in this text names no character", "write up to \\u{10FFFF}")
                : new ValueToken(ValueToken.Kind.QUOTED, text, note, place(word), true);
    }

    private ValueToken keyword(Token word, String note) {
        String text = word.getText();
        return switch (text) {
            case "#true", "#false", "#null", "#inf", "#-inf", "#nan" ->
                    new ValueToken(ValueToken.Kind.KEYWORD, text, note, place(word), true);
            default ->
                    slip(
                            word,
                            "there is no word " + text,
                            "write #true or #false, or a text in quotes");
        };
    }
}
