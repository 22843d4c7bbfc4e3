package lupinwood.config;

import java.util.ArrayList;
import java.util.List;

/** One statement: a name, its values, and the statements in its braces. */
final class Statement {
    final ValueToken name;
    final List<ValueToken> values = new ArrayList<>();

    /** Where it has a property, as {@code name=value}, which no entry takes; null without one. */
    SourcePosition property;

    /** Null without braces. */
    List<Statement> inside;

    /** Whether something in it can't be used and was reported; nothing else is then said of it. */
    boolean broken;

    Statement(ValueToken name) {
        this.name = name;
    }
}
