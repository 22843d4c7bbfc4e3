package lupinwood.consensus;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.JsonSyntaxException;
import com.google.gson.TypeAdapter;
import com.google.gson.reflect.TypeToken;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.lang.reflect.Array;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Converts a record to a JSON object whose fields have the names of a table. A null component isn't
 * written; a missing field is read as null, zero or false; a field that isn't in the table is
 * ignored.
 */
final class RecordAdapter<T> extends TypeAdapter<T> {
    /** One component with its wire name. */
    private record Field(
            String name, Class<?> type, Method accessor, TypeAdapter<Object> adapter) {}

    private final List<Field> fields = new ArrayList<>();
    private final Map<String, Integer> indexes = new HashMap<>();
    private final Constructor<T> constructor;

    /**
     * @param names the wire names of the components, in their order
     */
    RecordAdapter(Gson gson, Class<T> type, List<String> names) {
        RecordComponent[] components = type.getRecordComponents();
        for (int i = 0; i < components.length; i++) {
            indexes.put(names.get(i), i);
            fields.add(field(gson, names.get(i), components[i]));
        }
        try {
            constructor =
                    type.getDeclaredConstructor(
                            Stream.of(components)
                                    .map(RecordComponent::getType)
                                    .toArray(Class<?>[]::new));
        } catch (NoSuchMethodException e) {
            throw new IllegalStateException("the record has no canonical constructor", e);
        }
    }

    @SuppressWarnings("unchecked") // the adapter is only used for values of its own component
    private static Field field(Gson gson, String name, RecordComponent component) {
        return new Field(
                name,
                component.getType(),
                component.getAccessor(),
                (TypeAdapter<Object>) gson.getAdapter(TypeToken.get(component.getGenericType())));
    }

    @Override
    public void write(JsonWriter out, T value) throws IOException {
        if (value == null) {
            out.nullValue();
            return;
        }
        out.beginObject();
        for (Field field : fields) {
            out.name(field.name());
            field.adapter().write(out, valueOf(field, value));
        }
        out.endObject();
    }

    private static Object valueOf(Field field, Object value) {
        try {
            return field.accessor().invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read " + field.accessor(), e);
        }
    }

    @Override
    public T read(JsonReader in) throws IOException {
        if (in.peek() == JsonToken.NULL) {
            in.nextNull();
            return null;
        }
        Object[] values =
                fields.stream().map(field -> defaultValue(field.type())).toArray(Object[]::new);
        try {
            in.beginObject();
            while (in.hasNext()) {
                Integer index = indexes.get(in.nextName());
                if (index == null) {
                    in.skipValue();
                } else {
                    values[index] = read(in, fields.get(index));
                }
            }
            in.endObject();
        } catch (IllegalStateException e) { // the JSON has another kind of value here
            throw new JsonSyntaxException(e);
        }
        return newRecord(values);
    }

    private static Object read(JsonReader in, Field field) throws IOException {
        Object value = field.adapter().read(in);
        if (value == null && field.type().isPrimitive()) {
            throw new JsonParseException(
                    "null is not allowed for '" + field.name() + "' at " + in.getPath());
        }
        return value;
    }

    private T newRecord(Object[] values) {
        try {
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            throw new IllegalArgumentException("rejected by " + constructor, e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot call " + constructor, e);
        }
    }

    private static Object defaultValue(Class<?> type) {
        return type.isPrimitive() ? Array.get(Array.newInstance(type, 1), 0) : null;
    }
}
