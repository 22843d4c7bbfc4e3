package lupinwood.config;

import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.Token;

/**
 * Writes a text again in the one form that all share: a statement a line, four blanks a depth of
 * braces, one blank between words, at most one empty line in a row, quantities in their short form.
 * Remarks stay where they are. It works on the words alone and never changes what they mean;
 * formatting twice is formatting once.
 */
public final class Formatter {
    private static final int INDENT = 4;

    private final StringBuilder out = new StringBuilder();
    private final List<Token> words = new ArrayList<>();
    private int depth;
    private boolean lineBegun;

    /** A statement ended, so that the next word begins a line. */
    private boolean breakDue;

    private boolean emptyLineDue;
    private boolean afterOpen = true;

    /** The next word follows without a blank. */
    private boolean tight = true;

    private boolean continued;

    private Formatter() {}

    /** The text in its form, or null where it can't be read, which the problems tell. */
    public static String format(Source source, Diagnostics diagnostics) {
        boolean sound = diagnostics.isEmpty();
        Parser.parse(source, diagnostics);
        if (sound && !diagnostics.isEmpty()) {
            return null;
        }
        Formatter formatter = new Formatter();
        formatter.words.addAll(Syntax.words(source));
        formatter.write();
        return formatter.out.toString();
    }

    private void write() {
        int breaks = 0;
        for (int i = 0; i < words.size(); i++) {
            Token word = words.get(i);
            switch (word.getType()) {
                case KdlLexer.SPACE, KdlLexer.MARK -> {}
                case KdlLexer.CONTINUED -> continued(word);
                case KdlLexer.NEWLINE -> {
                    breaks++;
                    if ((!lineBegun && !breakDue) || breaks > 1) {
                        emptyLineDue |= breaks > 1;
                    }
                    breakDue |= lineBegun;
                }
                case KdlLexer.SEMICOLON -> breakDue = lineBegun;
                case KdlLexer.LINE_REMARK -> {
                    breaks = 0;
                    lineRemark(word, sameLine(i));
                }
                case KdlLexer.REMARK_OPEN -> {
                    breaks = 0;
                    i = remark(i);
                }
                case KdlLexer.OPEN -> {
                    breaks = 0;
                    breakDue = false;
                    put("{");
                    depth++;
                    breakDue = true;
                    emptyLineDue = false;
                    afterOpen = true;
                }
                case KdlLexer.CLOSE -> {
                    breaks = 0;
                    close();
                }
                default -> {
                    breaks = 0;
                    i = plain(i);
                }
            }
        }
        if (lineBegun) {
            out.append('\n');
        }
    }

    private boolean sameLine(int place) {
        for (int i = place - 1; i >= 0; i--) {
            int type = words.get(i).getType();
            if (type == KdlLexer.NEWLINE || type == KdlLexer.CONTINUED) {
                return false;
            }
            if (type != KdlLexer.SPACE && type != KdlLexer.MARK) {
                return true;
            }
        }
        return false;
    }

    private void newLine() {
        if (lineBegun) {
            out.append('\n');
        }
        if (emptyLineDue && !afterOpen) {
            out.append('\n');
        }
        emptyLineDue = false;
        breakDue = false;
        lineBegun = false;
        tight = true;
    }

    private void put(String text) {
        if (breakDue) {
            newLine();
        }
        if (!lineBegun) {
            if (emptyLineDue && !afterOpen) {
                out.append('\n');
            }
            emptyLineDue = false;
            out.append(" ".repeat(INDENT * (continued ? depth + 1 : depth)));
            continued = false;
            lineBegun = true;
        } else if (!tight) {
            out.append(' ');
        }
        out.append(text);
        tight = false;
        afterOpen = false;
    }

    private void close() {
        depth = Math.max(0, depth - 1);
        emptyLineDue = false;
        if (afterOpen) {
            out.append('}');
        } else {
            breakDue = lineBegun;
            tight = true;
            put("}");
        }
        afterOpen = false;
        breakDue = true;
    }

    private void continued(Token word) {
        String remark =
                word.getText().contains("//")
                        ? " " + word.getText().substring(word.getText().indexOf("//")).strip()
                        : "";
        if (lineBegun && !breakDue) {
            out.append(tight ? "" : " ").append('\\').append(remark).append('\n');
            lineBegun = false;
            continued = true;
            tight = true;
        }
    }

    /** A remark behind a statement stays in its line. */
    private void lineRemark(Token word, boolean sameLine) {
        String text = word.getText().stripTrailing();
        if (sameLine && lineBegun) {
            out.append(' ').append(text);
        } else {
            breakDue |= lineBegun;
            put(text);
        }
        afterOpen = false;
        breakDue = true;
    }

    private int remark(int first) {
        StringBuilder text = new StringBuilder();
        int open = 0;
        int i = first;
        do {
            int type = words.get(i).getType();
            open +=
                    type == KdlLexer.REMARK_OPEN || type == KdlLexer.DEEPER
                            ? 1
                            : type == KdlLexer.REMARK_CLOSE ? -1 : 0;
            text.append(words.get(i).getText());
        } while (open > 0 && ++i < words.size());
        if (breakDue && sameLine(first) && !afterOpen) {
            out.append(' ').append(text.toString().replace("\r\n", "\n"));
        } else {
            put(text.toString().replace("\r\n", "\n"));
        }
        return i;
    }

    /** Anything else; a unit in front of its number goes behind it. */
    private int plain(int place) {
        Token word = words.get(place);
        if (word.getType() == KdlLexer.PAREN_OPEN
                && place + 3 < words.size()
                && words.get(place + 2).getType() == KdlLexer.PAREN_CLOSE
                && words.get(place + 3).getType() == KdlLexer.NUMBER
                && Quantities.isUnit(words.get(place + 1).getText())
                && words.get(place + 3).getText().matches("[+-]?[0-9_]*\\.?[0-9_]+")) {
            put(words.get(place + 3).getText() + words.get(place + 1).getText());
            return place + 3;
        }
        boolean glued =
                switch (word.getType()) {
                    case KdlLexer.PAREN_CLOSE, KdlLexer.EQUALS -> true;
                    default -> false;
                };
        tight |= glued;
        put(word.getText().replace("\r\n", "\n"));
        tight =
                switch (word.getType()) {
                    case KdlLexer.PAREN_OPEN,
                            KdlLexer.PAREN_CLOSE,
                            KdlLexer.EQUALS,
                            KdlLexer.SLASHDASH ->
                            true;
                    default -> false;
                };
        return place;
    }
}
