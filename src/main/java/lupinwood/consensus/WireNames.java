package lupinwood.consensus;

import com.google.gson.Gson;
import com.google.gson.TypeAdapter;
import com.google.gson.TypeAdapterFactory;
import com.google.gson.reflect.TypeToken;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The names by which records and enum constants are stored and sent, apart from what they are
 * called in Java. A record or an enum without a table is refused, so that no Java name gets out
 * unnoticed. Filled by one thread, and only read after that.
 */
final class WireNames implements TypeAdapterFactory {
    private final Map<Class<?>, List<String>> components = new HashMap<>();
    private final Map<Class<?>, Map<?, String>> constants = new HashMap<>();

    /**
     * Names a record's components.
     *
     * @param names of all components, in the order in which the record has them
     * @throws IllegalArgumentException where these aren't as many as the record has
     */
    WireNames components(Class<? extends Record> type, String... names) {
        int count = type.getRecordComponents().length;
        if (count != names.length) {
            throw new IllegalArgumentException(
                    type + " has " + count + " components, and " + names.length + " names");
        }
        components.put(type, List.of(names));
        return this;
    }

    /**
     * Names an enum's constants.
     *
     * @throws IllegalArgumentException where one has no name
     */
    <E extends Enum<E>> WireNames constants(Class<E> type, Map<E, String> names) {
        if (names.size() != type.getEnumConstants().length) {
            throw new IllegalArgumentException("not each constant of " + type + " has a name");
        }
        constants.put(type, Map.copyOf(names));
        return this;
    }

    /**
     * The name of a constant.
     *
     * @throws IllegalArgumentException where its type has no table
     */
    <E extends Enum<E>> String nameOf(E constant) {
        return namesOf(constant.getDeclaringClass()).get(constant);
    }

    /** The constant of that name; null where a newer version has one that this one hasn't. */
    <E extends Enum<E>> E constantOf(Class<E> type, String name) {
        return namesOf(type).entrySet().stream()
                .filter(one -> one.getValue().equals(name))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    @SuppressWarnings("unchecked") // put in with keys of that type only
    private <E extends Enum<E>> Map<E, String> namesOf(Class<E> type) {
        return (Map<E, String>) table(constants, type);
    }

    private static <V> V table(Map<Class<?>, V> tables, Class<?> type) {
        V names = tables.get(type);
        if (names == null) {
            throw new IllegalArgumentException(type + " has no names to be stored and sent by");
        }
        return names;
    }

    @Override
    @SuppressWarnings("unchecked") // the raw type decides
    public <T> TypeAdapter<T> create(Gson gson, TypeToken<T> type) {
        Class<? super T> raw = type.getRawType();
        if (raw.isRecord()) {
            return new RecordAdapter<>(gson, (Class<T>) raw, table(components, raw));
        }
        return raw.isEnum() ? new EnumAdapter<>((Map<T, String>) table(constants, raw)) : null;
    }
}
